/// Which requests were at work on back ends when these crashed, and what follows for each of them.
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
enum class standing
{
	clear,    //!< As any other.
	suspect,  //!< Runs on probation: alone of its kind on a back end, and at one of them.
	held,     //!< Not run.
};

/// Bounds of what is remembered, and for how long.
struct crash_history_options
{
	/// Requests under all crashes together. At 40 bytes of a frame each a node that subscribes is sent 160 kB at the
	/// most, 0.7 s of a link of 2 Mbit/s; a crash that is accounted for costs two or three of them.
	size_t maxMarks = 4096;
	/// A request that comes again sooner than this after a crash under it is known.
	base::Duration suspectRetention = std::chrono::hours(24);
	/// Marks that were cleared are kept for so long, since reports of them may still be on their way: behind a link
	/// that is cut they arrive once it is back.
	base::Duration clearedRetention = std::chrono::minutes(1);
	/// A held request is put on probation again so long after its last crash, and this many times longer after each
	/// further one: within a week it ends six back ends at the most, three beyond the third.
	base::Duration firstProbeDelay = std::chrono::minutes(5);
	int probeBackoffFactor = 12;
};

/// A request at work on a back end that crashed.
struct crashed_run
{
	request_fingerprint request;
	bool onProbation = false;
};

/// A request that is a suspect or held, for pages.
struct quarantined_request
{
	request_fingerprint request;
	std::string service;
	standing treatedAs = standing::suspect;
	size_t crashes = 0;
	base::Duration sinceLast{0};
	base::Duration untilProbe{0};  //!< Of one that is held.
};

/// A set of marks, each of one request and one crash. Marks are added and cleared, never set back, so that reports may
/// arrive in any order, late and twice, over any number of relays, and all that have heard the same judge alike.
///
/// A request with a mark is a suspect. One under which a back end crashed while it was on probation is held. A held
/// request accounts for its crashes: the others that were at work then are suspects no more, and another that is held
/// by the same crashes is released when this one has more.
class crash_history
{
public:
	/// Reports to be spread.
	using reports = std::vector<wire::CrashReport>;

	/// @param[in] _time Outlives the history.
	explicit crash_history(const base::TimeSource& _time, const crash_history_options& _options = {});

	/// Takes what others report.
	/// @returns What of it was news.
	reports merge(std::span<const wire::CrashReport> _reports);

	/// A back end crashed.
	/// @param[in] _id Drawn by the node beside it; the same when further runs of the same crash are added.
	/// @returns What was news.
	reports addCrash(uint64_t _id, std::string_view _service, std::string_view _endpoint,
					 std::span<const crashed_run> _runs);

	/// A request ran well, or an operator releases it.
	/// @returns What was news; nothing when the request has no mark.
	reports clear(const request_fingerprint& _request);

	/// @param[in] _service Where the request is to run: it is held only where it has crashed back ends, and a suspect
	/// elsewhere.
	standing standingOf(const request_fingerprint& _request, std::string_view _service) const;

	/// @returns When a held request is put on probation again, from now; 0 for any other.
	base::Duration untilProbe(const request_fingerprint& _request) const;

	/// @returns How long ago a back end last crashed under a request; the longest duration when none is known.
	base::Duration timeSinceLastCrash(const request_fingerprint& _request) const;

	/// @returns Whether no request has a mark, so that fingerprints are of no use.
	bool empty() const
	{
		return m_unclearedCrashes.empty();
	}

	/// @returns All marks for those who lack them, the cleared ones too.
	/// @param[in] _wants Chooses services.
	reports all(const std::function<bool(const std::string& service)>& _wants) const;

	reports all() const
	{
		return all(
			[](const std::string&)
			{
				return true;
			});
	}

	/// @returns Every request with a mark that counts.
	std::vector<quarantined_request> known() const;

	/// @returns Marks that are remembered, the cleared ones too.
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

	/// @returns Whether a mark is of no use once reports of it that are on their way have arrived.
	static bool isObsolete(const mark& _mark)
	{
		return _mark.cleared && !_mark.onProbation;
	}

	struct crash
	{
		std::string service;
		std::string endpoint;
		base::TimePoint at{};          //!< By this process's clock.
		base::TimePoint modifiedAt{};  //!< When a mark was added or cleared.
		std::map<request_fingerprint, mark> requests;
	};

	using crashes = std::map<uint64_t, crash>;
	/// Crashes under one request whose marks are not cleared.
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
	bool holdsNoRequest(const crash& _crash) const;
	void dropClearedMarks(crash* _crash);
	void dropExpired();
	void evictExcess();
	crashes::iterator removeCrash(crashes::iterator _crash);

	const base::TimeSource& m_time;
	crash_history_options m_options;
	crashes m_crashes;                                            //!< By id.
	std::map<request_fingerprint, crash_ids> m_unclearedCrashes;  //!< By request; oldest first.
	size_t m_markCount = 0;                                       //!< Marks in m_crashes.
};

}  // namespace driftlug::quarantine

#endif  // DRIFTLUG_QUARANTINE_CRASH_HISTORY_H_HEADER_GUARD
