/// Record of the requests that were running when back ends crashed, and the resulting status of each request.
#ifndef DRIFTLUG_QUARANTINE_CRASH_HISTORY_H_HEADER_GUARD
#define DRIFTLUG_QUARANTINE_CRASH_HISTORY_H_HEADER_GUARD

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "quarantine/request_fingerprint.h"
#include "wire/gen/driftlug_types.h"

namespace driftlug::quarantine
{
/// How a request is treated.
enum class request_status
{
	clear,    //!< Runs without restrictions.
	suspect,  //!< Runs on probation: on a single back end, with no other suspect there.
	held,     //!< Is not run.
};

/// Limits of the size of a crash history and of the retention of its marks.
struct crash_history_options
{
	/// Maximum number of marks over all crashes. At 40 bytes each in a frame, a node that subscribes is sent 160 kB at
	/// most, 0.7 s of a link of 2 Mbit/s. An explained crash takes two or three marks.
	size_t maxMarks = 4096;
	/// Retention of a suspect's marks: a request that is repeated within this time is recognized.
	base::Duration suspectRetention = std::chrono::hours(24);
	/// Retention of cleared marks: reports of them may still be in flight, and arrive late after a network partition.
	base::Duration clearedRetention = std::chrono::minutes(1);
	/// A held request is put on probation again this long after its last crash. The delay grows by probeBackoffFactor
	/// with each further crash: within a week a request crashes at most six back ends, the last three of them after
	/// delays of 1, 12 and 144 hours.
	base::Duration firstProbeDelay = std::chrono::minutes(5);
	int probeBackoffFactor = 12;
};

/// A request that was running on a back end when it crashed.
struct crashed_run
{
	request_fingerprint request;
	bool onProbation = false;
};

/// A suspect or held request, for status pages.
struct quarantined_request
{
	request_fingerprint request;
	std::string service;
	request_status treatedAs = request_status::suspect;
	size_t crashes = 0;
	base::Duration sinceLast{0};
	base::Duration untilProbe{0};  //!< Zero unless the request is held.
};

/// A set of marks. A mark records that a request was running during a crash. Marks are only added and cleared, and a
/// clear is final. Reports may therefore arrive late, repeatedly and in any order, over any number of relays, and all
/// processes that have received the same reports agree.
///
/// A request with an uncleared mark is a suspect. A request that was on probation during a crash is held. A held
/// request explains its crashes: the other requests that were running then are no longer suspects, and another request
/// held for the same crashes is released when this one has more crashes.
class crash_history
{
public:
	/// Reports to be sent to other processes.
	using reports = std::vector<wire::CrashReport>;

	/// @param[in] _time Must outlive the history.
	explicit crash_history(const base::TimeSource& _time, const crash_history_options& _options = {});

	/// Merges reports of other processes.
	/// @returns The parts that changed this history.
	reports merge(std::span<const wire::CrashReport> _reports);

	/// Adds a crash of a back end.
	/// @param[in] _id Random id chosen by the node of the back end; the same for further runs of the same crash.
	/// @returns The parts that changed this history.
	reports addCrash(uint64_t _id, std::string_view _service, std::string_view _endpoint,
					 std::span<const crashed_run> _runs);

	/// Clears the marks of a request that ran successfully or that an operator releases.
	/// @returns The changes; empty if the request has no uncleared mark.
	reports clear(const request_fingerprint& _request);

	/// @param[in] _service Service that is to run the request. A request is held only for services whose back ends it
	/// has crashed, and is a suspect for others.
	request_status statusOf(const request_fingerprint& _request, std::string_view _service) const;

	/// @returns The time until a held request is put on probation again; 0 for any other request.
	base::Duration untilProbe(const request_fingerprint& _request) const;

	/// @returns The time since a back end last crashed while running a request; the maximum duration if no crash is
	/// known.
	base::Duration timeSinceLastCrash(const request_fingerprint& _request) const;

	/// @returns Whether no request has an uncleared mark, so that no fingerprint needs to be computed.
	bool empty() const
	{
		return m_unclearedCrashes.empty();
	}

	/// @returns All marks, including cleared ones, for processes that lack them.
	/// @param[in] _wants Selects the services.
	reports all(const std::function<bool(const std::string& service)>& _includesService) const;

	reports all() const
	{
		return all(
			[](const std::string&)
			{
				return true;
			});
	}

	/// @returns All suspect and held requests.
	std::vector<quarantined_request> quarantinedRequests() const;

	/// @returns The number of stored marks, including cleared ones.
	size_t marks() const
	{
		return m_markCount;
	}

private:
	struct mark
	{
		bool onProbation = false;
		bool cleared = false;
	};

	/// @returns Whether a mark is not needed once all reports of it have been delivered.
	static bool isObsolete(const mark& _mark)
	{
		return _mark.cleared && !_mark.onProbation;
	}

	struct crash
	{
		std::string service;
		std::string endpoint;
		base::TimePoint at{};          //!< Time of the crash on the clock of this process.
		base::TimePoint modifiedAt{};  //!< Time when a mark was last added or cleared.
		std::map<request_fingerprint, mark> requests;
	};

	using crashes = std::map<uint64_t, crash>;
	/// Ids of the crashes of one request whose marks are not cleared.
	using crash_ids = std::vector<uint64_t>;

	bool addMark(uint64_t _id, crash* _crash, const request_fingerprint& _request, const mark& _mark);
	void removeMark(uint64_t _id, const request_fingerprint& _request);
	void clearExplained();
	crash& findOrAddCrash(const wire::CrashReport& _report);
	const crash_ids* unclearedCrashesOf(const request_fingerprint& _request) const;
	size_t countProbationCrashes(const crash_ids& _crashes, const request_fingerprint& _request) const;
	bool crashedOnProbation(const request_fingerprint& _request) const;
	bool isExplainedByHeldRequest(uint64_t _crash, const request_fingerprint& _request) const;
	base::TimePoint lastCrashOf(const crash_ids& _crashes) const;
	base::TimePoint nextProbeAt(const crash_ids& _crashes, const request_fingerprint& _request) const;
	wire::CrashReport reportOf(uint64_t _id, const crash& _crash) const;
	bool causesNoHold(const crash& _crash) const;
	void dropClearedMarks(crash* _crash);
	void dropExpired();
	void evictExcess();
	crashes::iterator removeCrash(crashes::iterator _crash);

	const base::TimeSource& m_time;
	crash_history_options m_options;
	crashes m_crashes;                                            //!< Keyed by crash id.
	std::map<request_fingerprint, crash_ids> m_unclearedCrashes;  //!< Keyed by request; oldest crash first.
	size_t m_markCount = 0;                                       //!< Number of marks in m_crashes.
};

}  // namespace driftlug::quarantine

#endif  // DRIFTLUG_QUARANTINE_CRASH_HISTORY_H_HEADER_GUARD
