/// driftlug-soak-callers: callers that use persistent connections until the server closes them, and report the requests
/// without a response.
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <vector>

#include "base/settings.h"
#include "call_content.h"
#include "daemon.h"
#include "soak/persistent_connection.h"

DEFINE_string(targets, "", "entry nodes as host:port, separated by commas");
DEFINE_string(host, "", "Host header of the requests");
DEFINE_string(lookups, "/", "paths of requests that may be repeated, separated by commas");
DEFINE_string(filings, "", "paths of requests that may not be repeated, separated by commas");
DEFINE_double(filing_share, 0.3, "share of requests that may not be repeated");
DEFINE_int32(connections, 8,
			 "persistent connections to each target; a quarter of them pipeline, a quarter are mostly idle");
DEFINE_int32(body_bytes, 1000, "maximum body size of a request that may not be repeated");
DEFINE_int32(duration_ms, 5000, "duration of the load");
DEFINE_string(record, "", "JSON file for the outcome of each request that may not be repeated");
DEFINE_string(unanswered, "", "JSON file for the requests without a complete response");
DEFINE_int32(seed, 1, "seed of requests and pauses");

namespace
{
using namespace driftlug;
using nlohmann::json;

constexpr int kOkStatus = 200;

/// A target, its connections, and the send time of the newest request that it answered.
struct target
{
	std::string name;
	int64_t newestAnsweredSentUs = 0;
	std::vector<std::unique_ptr<soak::persistent_connection>> connections;
};

class caller_pool;

/// Forwards the outcomes of one target's connections.
class target_observer : public soak::request_observer
{
public:
	target_observer(caller_pool& _owner, target& _target)
		: m_owner(_owner)
		, m_target(_target)
	{
	}

	void onAnswered(const soak::pending_request& _request, const transport::HttpHead& _head,
					const std::string& _body) override;
	void onUnanswered(const soak::pending_request& _request, soak::request_end _end) override;
	void onStray() override;

private:
	caller_pool& m_owner;
	target& m_target;
};

class caller_pool
{
public:
	explicit caller_pool(transport::EventLoop& _loop)
		: m_loop(_loop)
		, m_random(static_cast<uint64_t>(FLAGS_seed))
		, m_lookups(base::splitList(FLAGS_lookups))
		, m_filings(base::splitList(FLAGS_filings))
	{
		for (const auto& text : base::splitList(FLAGS_targets))
		{
			addTarget(text);
		}
	}

	void start()
	{
		for (const auto& each : m_targets)
		{
			for (const auto& connection : each->connections)
			{
				connection->start();
			}
		}
		m_loop.schedule(base::milliseconds(FLAGS_duration_ms),
						[this]
						{
							finish();
						});
	}

	json summary() const
	{
		return {{"requests", m_sent}, {"outcomes", m_outcomes}, {"without_answer", m_unanswered.size()}};
	}

	const json& record() const
	{
		return m_record;
	}

	const std::vector<soak::unanswered_request>& unanswered() const
	{
		return m_unanswered;
	}

	void onAnswered(target* _target, const soak::pending_request& _request, const transport::HttpHead& _head,
					const std::string& _body)
	{
		_target->newestAnsweredSentUs = std::max(_target->newestAnsweredSentUs, _request.sentUs);
		if (isAnswerOfStop(_head, _body))
		{
			recordUnanswered(*_target, _request, soak::request_end::stopped);
		}
		recordOutcome(_request, outcomeOf(_request, _head, _body));
	}

	void onUnanswered(const target& _target, const soak::pending_request& _request, soak::request_end _end)
	{
		recordUnanswered(_target, _request, _end);
		recordOutcome(_request, "lost");
	}

	void onStray()
	{
		++m_outcomes["stray"];
	}

private:
	void addTarget(const std::string& _text)
	{
		m_targets.push_back(std::make_unique<target>());
		auto& added = *m_targets.back();
		added.name = _text;
		m_observers.push_back(std::make_unique<target_observer>(*this, added));
		const auto address = apps::parseAddressOrExit("targets", _text);
		for (int i = 0; i < FLAGS_connections; ++i)
		{
			added.connections.push_back(std::make_unique<soak::persistent_connection>(
				m_loop, address, trafficOf(i), base::RandomSource(m_random.bits()),
				[this](std::string* _bytes)
				{
					return makeRequest(_bytes);
				},
				*m_observers.back()));
		}
	}

	static soak::persistent_connection::traffic trafficOf(int _connection)
	{
		constexpr int kKinds = 4;
		switch (_connection % kKinds)
		{
			case 0:
				return {4, base::milliseconds(100)};  // pipelined
			case 1:
				return {1, base::milliseconds(3000)};  // mostly idle
			default:
				return {1, base::milliseconds(200)};
		}
	}

	soak::pending_request makeRequest(std::string* _bytes)
	{
		soak::pending_request request;
		request.keyed = !m_filings.empty() && m_random.chance(FLAGS_filing_share);
		request.id = fmt::format("open-{}-{:016x}", FLAGS_seed, m_random.bits());
		const auto& paths = request.keyed ? m_filings : m_lookups;
		const auto& path = paths[m_random.below(paths.size())];
		std::string body;
		*_bytes = fmt::format("{} {}?id={} HTTP/1.1\r\nhost: {}\r\nx-request-id: {}\r\n",
							  request.keyed ? "POST" : "GET", path, request.id, FLAGS_host, request.id);
		if (request.keyed)
		{
			body = tools::contentFor(request.id + "-body", 1 + m_random.below(static_cast<uint64_t>(FLAGS_body_bytes)));
			*_bytes += fmt::format("idempotency-key: {}\r\ncontent-length: {}\r\n", request.id, body.size());
		}
		*_bytes += "\r\n" + body;
		request.digest = tools::digestOf(body);
		++m_sent;
		return request;
	}

	static std::string outcomeOf(const soak::pending_request& _request, const transport::HttpHead& _head,
								 const std::string& _body)
	{
		const auto body = json::parse(_body, nullptr, false);
		if (kOkStatus != _head.status)
		{
			const auto outcome = body.is_object() ? body.value("outcome", "") : "";
			return outcome.empty() ? "other" : outcome;
		}
		if (!body.is_object())
		{
			return "truncated";
		}
		const auto content = body.value("content", "");
		const bool own = _request.id == body.value("id", "") && _request.digest == body.value("request_digest", "")
						 && tools::contentFor(_request.id, content.size()) == content;
		return own && !content.empty() ? "ok" : "crossed";
	}

	/// @returns Whether a node that stopped has broken off the request, which may have run.
	static bool isAnswerOfStop(const transport::HttpHead& _head, const std::string& _body)
	{
		const auto body = kOkStatus == _head.status ? json() : json::parse(_body, nullptr, false);
		return body.is_object() && "node_stopped" == body.value("error", "");
	}

	void recordUnanswered(const target& _target, const soak::pending_request& _request, soak::request_end _end)
	{
		const auto nowUs = m_loop.now().time_since_epoch().count();
		m_unanswered.push_back(
			{_request.id, _target.name, _end, _request.keyed, _request.sentUs, nowUs, _target.newestAnsweredSentUs});
	}

	void recordOutcome(const soak::pending_request& _request, const std::string& _outcome)
	{
		++m_outcomes[_outcome];
		if (_request.keyed)
		{
			m_record[_request.id] = _outcome;
		}
	}

	void finish()
	{
		constexpr base::Duration kPoll = base::milliseconds(20);
		size_t waiting = 0;
		for (const auto& each : m_targets)
		{
			for (const auto& connection : each->connections)
			{
				connection->finish();
				waiting += connection->outstanding();
			}
		}
		if (0 == waiting)
		{
			return m_loop.stop();
		}
		m_loop.schedule(kPoll,
						[this]
						{
							finish();
						});
	}

	transport::EventLoop& m_loop;
	base::RandomSource m_random;
	std::vector<std::string> m_lookups;
	std::vector<std::string> m_filings;
	std::vector<std::unique_ptr<target>> m_targets;
	std::vector<std::unique_ptr<target_observer>> m_observers;
	std::vector<soak::unanswered_request> m_unanswered;
	std::map<std::string, int64_t> m_outcomes;
	json m_record = json::object();
	int64_t m_sent = 0;
};

void target_observer::onAnswered(const soak::pending_request& _request, const transport::HttpHead& _head,
								 const std::string& _body)
{
	m_owner.onAnswered(&m_target, _request, _head, _body);
}

void target_observer::onUnanswered(const soak::pending_request& _request, soak::request_end _end)
{
	m_owner.onUnanswered(m_target, _request, _end);
}

void target_observer::onStray()
{
	m_owner.onStray();
}

}  // namespace

int main(int argc, char** argv)
{
	base::declareRequired("targets");
	base::declareRange("duration_ms", 1, 3'600'000);
	base::declareRange("connections", 1, 1'000);
	base::declareRange("body_bytes", 1, 64 << 20);
	base::loadSettingsOrExit(argc, argv, "driftlug-soak-callers: callers with persistent connections", false);
	apps::configureLogsFromSettings();
	transport::EventLoop loop;
	caller_pool all(loop);
	all.start();
	loop.run();
	std::ofstream(FLAGS_record) << all.record().dump();
	std::ofstream(FLAGS_unanswered) << soak::toJson(all.unanswered()).dump();
	std::printf("%s\n", all.summary().dump().c_str());
	return 0;
}
