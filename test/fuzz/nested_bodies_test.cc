/// Bodies with values nested so deeply that recursion over them would exhaust the stack.
#include <absl/strings/str_cat.h>

#include <catch2/catch.hpp>

#include "controller/http_api.h"
#include "platform/pages_fixture.h"
#include "report_document.h"

namespace driftlug::platform
{
namespace
{

constexpr size_t kDepth = 1'000'000;

std::string nestedLists()
{
	return std::string(kDepth, '[') + std::string(kDepth, ']');
}

std::string nestedObjects()
{
	std::string text;
	for (size_t i = 0; i < kDepth; ++i)
		text += "{\"a\":";
	return text + "1" + std::string(kDepth, '}');
}

std::string resource(const std::string& type, const std::string& metadata, const std::string& spec)
{
	return absl::StrCat(R"({"resourceType":)", type, R"(,"metadata":)", metadata, R"(,"spec":)", spec, "}");
}

std::string config(const std::string& resources)
{
	return absl::StrCat(R"({"version":"00000003","baseVersion":"00000000","resources":)", resources, "}");
}

/// Three simulated controllers with the operators' pages of the platform and of the project.
struct Fixture : PagesFixture
{
	int post(const std::string& path, const std::string& body)
	{
		auto& controller = hosts[leader()]->controller();
		controller::HttpApi api(controller, controller.scheduler());
		transport::HttpRequest request;
		request.method = "POST";
		request.path = path;
		request.body = body;
		int status = 0;
		api.handle(request,
				   [&](const transport::HttpResponse& response)
				   {
					   status = response.status;
				   });
		return status;
	}

	void checkLeader()
	{
		CHECK(putConfig(config("[]")) == 200);
	}
};

}  // namespace

TEST_CASE_METHOD(Fixture, "a configuration with deeply nested values is refused, and its reader survives")
{
	const auto deep = GENERATE(nestedLists(), nestedObjects());
	CHECK(putConfig(deep) == 400);
	CHECK(putConfig(absl::StrCat(R"({"version":)", deep, R"(,"baseVersion":"00000000","resources":[]})")) == 400);
	CHECK(putConfig(absl::StrCat(R"({"version":"00000003","baseVersion":)", deep, R"(,"resources":[]})")) == 400);
	CHECK(putConfig(config(deep)) == 400);
	CHECK(putConfig(config("[" + deep + "]")) == 400);
	CHECK(putConfig(config("[" + resource(deep, "{}", "{}") + "]")) == 400);
	CHECK(putConfig(config("[" + resource("\"routes\"", deep, "{}") + "]")) == 400);
	CHECK(putConfig(config("[" + resource("\"routes\"", "{}", deep) + "]")) == 400);
	const auto route =
		absl::StrCat(R"({"host":"a.example","pathPrefix":"/","routeType":"safe","trafficSplit":)", deep, "}");
	CHECK(putConfig(config("[" + resource("\"routes\"", R"({"name":"r"})", route) + "]")) == 400);
	checkLeader();
}

TEST_CASE_METHOD(Fixture, "a member that is no part of a configuration may be nested deeply")
{
	const auto deep = GENERATE(nestedLists(), nestedObjects());
	CHECK(putConfig(
			  absl::StrCat(R"({"other":)", deep, R"(,"version":"00000003","baseVersion":"00000000","resources":[]})"))
		  == 200);
}

TEST_CASE_METHOD(Fixture, "orders and edits with deeply nested values are refused, and their readers survive")
{
	const auto deep = GENERATE(nestedLists(), nestedObjects());
	for (const auto& body : {deep, absl::StrCat(R"({"service":)", deep, R"(,"targetVersion":"v2","finishByS":60})")})
	{
		CHECK(sendRequest(leader(), "POST", "/rollouts", body).status == 400);
	}
	for (const auto& body :
		 {deep, absl::StrCat(R"({"request_id":)", deep, R"(,"edits":[]})"),
		  absl::StrCat(R"({"request_id":"r","edits":)", deep, "}"),
		  absl::StrCat(R"({"request_id":"r","edits":[)", deep, "]}"),
		  absl::StrCat(R"({"request_id":"r","edits":[{"kind":"note","name":"n","row":)", deep, "}]}"),
		  absl::StrCat(R"({"request_id":"r","edits":[{"kind":"note","name":"n","row":{"text":)", deep, "}}]}")})
	{
		CHECK(post("/v1/edits", body) == 400);
	}
	CHECK(post("/v1/controllers", absl::StrCat(R"({"name":)", deep, "}")) == 400);
	CHECK(post("/v1/rollouts/s-1", absl::StrCat(R"({"version":)", deep, "}")) == 400);
	checkLeader();
}

TEST_CASE("a report with deeply nested values is refused, and its reader survives")
{
	const auto deep = GENERATE(nestedLists(), nestedObjects());
	CHECK_FALSE(readReport("i-1", deep, "s-1").ok());
	CHECK_FALSE(readReport("i-1", absl::StrCat(R"({"address":)", deep, "}"), "s-1").ok());
	CHECK_FALSE(readReport("i-1", absl::StrCat(R"({"address":"a","info":)", deep, "}"), "s-1").ok());
	CHECK(readStartTime(absl::StrCat(R"({"born":)", deep, "}")) == 0);
}

}  // namespace driftlug::platform
