/// Runs the deployment in test/soak/small as processes.
#ifndef DRIFTLUG_TEST_SOAK_SMALL_FLEET_H_HEADER_GUARD
#define DRIFTLUG_TEST_SOAK_SMALL_FLEET_H_HEADER_GUARD

#include <stdlib.h>
#include <catch2/catch.hpp>

#include <filesystem>
#include <memory>
#include <string>
#include <utility>

#include "fleet.h"

namespace driftlug::tools
{
/// A running fleet, whose destructor stops the processes and removes the folder with their logs.
class small_fleet
{
public:
	/// @param[in] _options The folders for executables and reports are set by the constructor.
	explicit small_fleet(FleetOptions _options)
	{
		char folder[] = "/tmp/driftlug-small-XXXXXX";
		REQUIRE(nullptr != ::mkdtemp(folder));
		m_folder = folder;
		const auto deployment = readDeployment(DRIFTLUG_SOURCE_DIR "/test/soak/small");
		REQUIRE(deployment.ok());
		_options.binaries = DRIFTLUG_BINARIES;
		_options.report = m_folder;
		_options.emulateLatency = false;
		m_fleet = std::make_unique<Fleet>(*deployment, std::move(_options));
		REQUIRE(m_fleet->start().ok());
	}

	~small_fleet()
	{
		m_fleet->stop();
		std::filesystem::remove_all(m_folder);
	}

	small_fleet(const small_fleet&) = delete;
	small_fleet& operator=(const small_fleet&) = delete;

	/// @param[in] _rate Calls per second.
	void startLoad(double _rate, int _durationMs)
	{
		LoadOptions load;
		load.rate = _rate;
		load.durationMs = _durationMs;
		m_fleet->startLoad("load", load);
	}

	Fleet* operator->() const
	{
		return m_fleet.get();
	}

	Fleet& operator*() const
	{
		return *m_fleet;
	}

private:
	std::string m_folder;
	std::unique_ptr<Fleet> m_fleet;
};

}  // namespace driftlug::tools

#endif  // DRIFTLUG_TEST_SOAK_SMALL_FLEET_H_HEADER_GUARD
