#include "soak/fault_proxy.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>

namespace driftlug::soak
{
namespace
{
using transport::TcpStream;

/// Records the bytes and the close of a stream.
struct recorder : transport::StreamHandler
{
	void onBytes(std::string_view _bytes) override
	{
		got += _bytes;
	}
	void onClosed(bool /*_orderly*/) override
	{
		closed = true;
	}

	std::string got;
	bool closed = false;
};

/// A client connected to a recording server through a proxy.
struct proxied_server
{
	proxied_server()
		: listener(loop,
				   [this](std::shared_ptr<TcpStream> _stream)
				   {
					   server = std::move(_stream);
					   server->setHandler(&atServer);
				   })
	{
		REQUIRE(listener.listen("127.0.0.1", 0, {}).ok());
		proxy = std::make_unique<fault_proxy>(loop, base::Address{"127.0.0.1", listener.port()});
		REQUIRE(proxy->listen(0).ok());
		client = TcpStream::connect(loop, {"127.0.0.1", proxy->port()}, &atClient, {});
		runUntil(
			[this]
			{
				return nullptr != server;
			});
	}

	~proxied_server()
	{
		client->close();
		server->close();
		proxy.reset();
		loop.close();
	}

	/// Runs the loop until a condition holds, for a bounded number of iterations.
	template <typename Condition>
	bool runUntil(Condition _condition, int _turns = 2'000)
	{
		for (int i = 0; i < _turns && !_condition(); ++i)
		{
			loop.schedule(base::milliseconds(1), [] {});
			loop.runOnce();
		}
		return _condition();
	}

	transport::EventLoop loop;
	recorder atServer;
	recorder atClient;
	std::shared_ptr<TcpStream> server;
	std::shared_ptr<TcpStream> client;
	transport::TcpListener listener;
	std::unique_ptr<fault_proxy> proxy;
};

}  // namespace

TEST_CASE_METHOD(proxied_server, "bytes pass both ways, and so does the end of a connection")
{
	client->write("question");
	REQUIRE(runUntil(
		[this]
		{
			return "question" == atServer.got;
		}));
	server->write("answer");
	REQUIRE(runUntil(
		[this]
		{
			return "answer" == atClient.got;
		}));
	server->close();
	REQUIRE(runUntil(
		[this]
		{
			return atClient.closed;
		}));
	CHECK(runUntil(
		[this]
		{
			return 0 == proxy->connections();
		}));
}

TEST_CASE_METHOD(proxied_server, "a silent link holds bytes back until it is over")
{
	proxy->setFault(link_fault::silence, {});
	client->write("held");
	CHECK_FALSE(runUntil(
		[this]
		{
			return !atServer.got.empty();
		},
		50));
	proxy->setFault(link_fault::none, {});
	client->write(" back");
	CHECK(runUntil(
		[this]
		{
			return "held back" == atServer.got;
		}));
}

TEST_CASE_METHOD(proxied_server, "a link that is silent one way lets the other way pass")
{
	proxy->setFault(link_fault::silence_in, {});
	client->write("not through");
	server->write("through");
	CHECK(runUntil(
		[this]
		{
			return "through" == atClient.got;
		}));
	CHECK_FALSE(runUntil(
		[this]
		{
			return !atServer.got.empty();
		},
		50));
}

TEST_CASE_METHOD(proxied_server, "delayed bytes keep their order when the delay shrinks")
{
	proxy->setFault(link_fault::delay, {base::milliseconds(60)});
	client->write("first ");
	runUntil(
		[]
		{
			return false;
		},
		10);
	proxy->setFault(link_fault::delay, {base::milliseconds(1)});
	client->write("second");
	CHECK(runUntil(
		[this]
		{
			return "first second" == atServer.got;
		}));
}

TEST_CASE_METHOD(proxied_server, "a reset closes open connections and new ones")
{
	proxy->setFault(link_fault::reset, {});
	CHECK(runUntil(
		[this]
		{
			return atClient.closed && atServer.closed;
		}));
	recorder later;
	auto stream = TcpStream::connect(loop, {"127.0.0.1", proxy->port()}, &later, {});
	CHECK(runUntil(
		[&]
		{
			return later.closed;
		}));
	stream->close();
}

TEST_CASE_METHOD(proxied_server, "a throttled link limits the bandwidth and keeps the order of bytes")
{
	constexpr int64_t kBytesPerSecond = 20'000;
	constexpr size_t kBytes = 4'000;
	proxy->setFault(link_fault::throttle, {{}, kBytesPerSecond});
	const auto begun = loop.now();
	std::string sent;
	for (size_t i = 0; i < kBytes; ++i)
	{
		sent += static_cast<char>('a' + i % 26);
	}
	client->write(sent);
	CHECK(runUntil(
		[&]
		{
			return sent == atServer.got;
		}));
	CHECK(loop.now() - begun >= base::milliseconds(1'000 * kBytes / kBytesPerSecond));
}

TEST_CASE_METHOD(proxied_server,
				 "a muted connection forwards nothing any more, not even a close, and new connections do")
{
	proxy->setFault(link_fault::mute, {});
	proxy->setFault(link_fault::none, {});
	const auto muted = server;
	client->write("lost");
	muted->write("lost");
	CHECK_FALSE(runUntil(
		[this]
		{
			return !atServer.got.empty() || !atClient.got.empty();
		},
		50));
	recorder later;
	server.reset();
	auto stream = TcpStream::connect(loop, {"127.0.0.1", proxy->port()}, &later, {});
	REQUIRE(runUntil(
		[this]
		{
			return nullptr != server;
		}));
	stream->write("new");
	CHECK(runUntil(
		[this]
		{
			return "new" == atServer.got;
		}));
	stream->close();
	client->close();
	CHECK_FALSE(runUntil(
		[this]
		{
			return 0 == proxy->connections();
		},
		50));
	muted->close();
	CHECK(runUntil(
		[this]
		{
			return 0 == proxy->connections();
		}));
}

}  // namespace driftlug::soak
