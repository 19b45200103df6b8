// Text decoders return a value or a typed error for any input; they never throw or crash.
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "controller/controller_host.h"
#include "controller/http_api.h"
#include "fuzz/mutator.h"
#include "platform/platform_messages.h"
#include "platform/whole_config.h"
#include "report_document.h"
#include "table/row_json.h"
#include "transport/http_reader.h"

namespace driftlug::test
{
namespace
{
constexpr char kReport[] =
	R"({"address":"10.0.0.1:8080","born":1764720000000,"info":{"service":"s","version":"v1","zone":"z","slots":9},)"
	R"("status":{"state":"ready","sequence":4,"coldRemainingMs":250}})";
constexpr char kEdit[] =
	R"({"request_id":"r","author":"a","base_revision":3,"edits":[{"kind":"limit","name":"n","expected_revision":-1,)"
	R"("row":{"service":"s","max_concurrent":20,"max_queued":80}},{"kind":"route","name":"r","row":{"host":"h",)"
	R"("path_prefix":"/","shares":{"s":100},"timeout_ms":100,"repeatable":true}},{"kind":"secret","name":"k",)"
	R"("delete":true}]})";

}  // namespace

TEST_CASE("reports of back ends")
{
	mutator inputs(fuzzSeed());
	int good = 0;
	for (int i = 0; i < fuzzRounds(100'000); ++i)
	{
		const auto body = inputs.next({kReport});
		const auto report = platform::readReport("i-1", body, "s");
		(void)platform::readStartTime(body);
		if (!report.ok())
		{
			continue;
		}
		++good;
		CHECK(0 < report->slots);
		CHECK(0 <= report->sequence);
		CHECK(0 <= report->coldMs);
		CHECK(0 <= report->startedAtMs);
	}
	CHECK(0 < good);
}

TEST_CASE("whole configurations")
{
	mutator inputs(fuzzSeed());
	const std::vector<std::string> samples = {
		configBody(7, 5,
				   {routeResource("r-1", "a.example", "/x/", "safe", "s-1"), splitResource("r-2"),
					serviceResource("s-1"), serviceResource("s-2"), limitsResource()}),
		configBody(1, 0, {})};
	int good = 0;
	for (int i = 0; i < fuzzRounds(50'000); ++i)
	{
		const auto document = platform::parseConfig(inputs.next(samples));
		if (!document.ok())
		{
			continue;
		}
		++good;
		table::Table rows;
		for (const auto& change : platform::changesFor(*document, rows))
		{
			auto row = change.row;
			row.revision = 1;
			rows.put(table::storeRow(row));
		}
		(void)platform::renderConfig(rows);
	}
	CHECK(0 < good);
}

TEST_CASE("rows")
{
	mutator inputs(fuzzSeed());
	const auto edits = nlohmann::json::parse(kEdit)["edits"];
	for (int i = 0; i < fuzzRounds(50'000); ++i)
	{
		const auto& edit = edits[inputs.random().below(2)];
		const auto fields = nlohmann::json::parse(inputs.next({edit["row"].dump()}), nullptr, false);
		if (fields.is_discarded())
		{
			continue;
		}
		const auto key = table::makeKey(table::kindFromName(edit["kind"].get<std::string>()), "n");
		const auto row = table::rowFromJson(key, fields);
		if (row.ok())
		{
			(void)table::rowToJson(*row, false).dump();
		}
	}
}

TEST_CASE("requests of operators")
{
	EventQueue queue;
	SimulatedNetwork network(queue, base::RandomSource(1), {});
	Host host(queue, network, "10.0.0.1", "zone-1", 1);
	host.start({"10.0.0.1"}, true, 1);
	while (queue.runNext(base::TimePoint{} + base::seconds(5)))
	{
	}
	Process process(queue, "api", {"zone-1", "region"}, {"10.0.0.9", 1});
	process.start();
	controller::HttpApi api(host.controller(), process);
	mutator inputs(fuzzSeed());
	const std::vector<std::string> targets = {
		"/v1/rows?kind=limit", "/v1/rows/limit/claims", "/v1/edits",
		"/v1/history?from=3",  "/v1/keys/key-1",        "/v1/status",
		"/v1/controllers/a",   "/v1/controllers",       "/v1/revisions/3/convergence?wait_ms=1",
		"/v1/rollouts",        "/v1/rollouts/tiles"};
	const std::vector<std::string> methods = {"GET", "POST", "DELETE", "PUT"};
	int answers = 0;
	for (int i = 0; i < fuzzRounds(20'000); ++i)
	{
		transport::HttpRequest request;
		request.method = methods[inputs.random().below(methods.size())];
		const auto target = inputs.next(targets);
		request.path = target.substr(0, target.find('?'));
		request.query = target.size() > request.path.size() ? target.substr(request.path.size() + 1) : "";
		request.body = inputs.next({kEdit, R"({"name":"a","address":"b","frame_port":1,"http_port":2})",
									R"({"version":"v2","finish_by_ms":2000})"});
		api.handle(request,
				   [&](const transport::HttpResponse&)
				   {
					   ++answers;
				   });
		const auto until = queue.now() + base::milliseconds(20);
		while (queue.runNext(until))
		{
		}
	}
	CHECK(0 < answers);
}

TEST_CASE("messages of callers and back ends")
{
	mutator inputs(fuzzSeed());
	const std::vector<std::string> requests = {
		"GET /tiles/7?zoom=3 HTTP/1.1\r\nHost: a.example\r\nX-Deadline-Ms: 1200\r\nConnection: keep-alive\r\n\r\n",
		"POST /orders HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"PUT /x HTTP/1.0\r\ncontent-length: 5\r\n\r\nhello"};
	const std::vector<std::string> responses = {
		"HTTP/1.1 200 OK\r\ncontent-length: 5\r\nkeep-alive: timeout=5, max=3\r\nx-load: 3,0,8\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "HTTP/1.0 500 No\r\n\r\nrest"};
	using transport::HttpProgress;
	using transport::HttpReader;
	for (int i = 0; i < fuzzRounds(100'000); ++i)
	{
		const bool asks = 0 == i % 2;
		HttpReader reader(asks ? HttpReader::Kind::kRequests : HttpReader::Kind::kResponses, {4096, 1 << 16});
		const auto bytes = inputs.next(asks ? requests : responses);
		std::string_view rest = bytes;
		while (!rest.empty() && HttpProgress::kMessage == reader.feed(&rest))
		{
			(void)reader.takeHead();
			(void)reader.takeBody();
		}
		(void)reader.finish();
	}
}

}  // namespace driftlug::test
