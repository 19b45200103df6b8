/// Model of a service with back ends of two versions on the virtual clock; the production classes decide its rollouts.
#ifndef DRIFTLUG_TEST_ROLLOUT_SIMULATED_SERVICE_H_HEADER_GUARD
#define DRIFTLUG_TEST_ROLLOUT_SIMULATED_SERVICE_H_HEADER_GUARD

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "manual_time.h"
#include "rollout/rollout_driver.h"
#include "rollout/run_statistics.h"

namespace driftlug::test
{
/// Fault of the target version.
enum class version_fault
{
	none,
	fails,      //!< Fails a share of the requests.
	slow,       //!< Takes several times as long for a share of the requests.
	oneRoute,   //!< Fails on one route only.
	underLoad,  //!< Fails while more than half of its slots are busy.
	later,      //!< Fails from some seconds after its start.
};

/// Background faults, which affect back ends of both versions alike.
struct background_faults
{
	bool grey = false;             //!< Some back ends fail a share of their requests.
	bool slow = false;             //!< Some back ends take several times as long.
	bool dependencyFails = false;  //!< A dependency fails: a share of all requests fails for some seconds.
	bool burst = false;            //!< The load rises to 1.6 times for some seconds.
	bool crashes = false;          //!< Some back ends are down for four seconds.
};

/// Outcome of a rollout.
struct rollout_outcome
{
	wire::RolloutState::type state = wire::RolloutState::RUNNING;
	base::Duration decidedAfter{0};  //!< Time from the order to the decision.
	double exposure = 0;             //!< Requests to the target version, as a share of all until the deadline.
	int64_t requests = 0;            //!< Requests to the target version until the rollout was completed.
	int64_t badAnswers = 0;          //!< Bad answers of the target version, also after the decision.
	int64_t badBeforeDecision = 0;   //!< Bad answers of the target version among the requests.
	std::optional<base::Duration> rollbackDelay;  //!< From the 50th bad answer to the last request to the version.
	std::string reason;
};

/// One rollout, randomized by a seed.
///
/// Back ends differ in speed and start cold; run times are lognormal with different parameters for each route.
/// Endpoints report every 250 ms with a delay of 150 ms, and decisions reach the nodes after 300 ms.
class simulated_service
{
public:
	simulated_service(uint64_t _seed, version_fault _bad, const background_faults& _faults);

	/// Runs the rollout.
	/// @param[in] _finishBy Deadline, relative to the order.
	rollout_outcome run(base::Duration _finishBy);

	/// Called with each evaluation of the version; may be empty.
	std::function<void(const rollout::rollout_situation&)> onEvaluated;

	/// @returns The number of back ends of each version.
	size_t size() const
	{
		return m_size;
	}

private:
	struct back_end
	{
		std::string name;
		bool target = false;
		double speed = 1;
		double failing = 0;    //!< Share of requests that a fault of the back end itself fails.
		double slower = 1;     //!< Slowdown by a fault of the back end itself.
		bool crashes = false;  //!< Whether it is down for some seconds.
		base::TimePoint startedAt{};
		int64_t sequence = 0;
		rollout::run_statistics figures;
		std::vector<base::TimePoint> busyUntil;
	};

	struct delayed_report
	{
		base::TimePoint at{};
		wire::VersionReport report;
	};

	void addBackEnds(bool _target);
	void serve(base::Duration _span);
	void request(int64_t _route);
	back_end* choose(bool _target);
	bool isBad(const back_end& _backEnd, int64_t _route, int _busy);
	int busyOf(back_end* _backEnd) const;
	bool isUp(const back_end& _backEnd) const;
	void report();
	void decide();
	void writeRow(const wire::RolloutRow& _row);

	ManualTime m_time;
	base::RandomSource m_random;
	version_fault m_bad;
	background_faults m_faults;
	double m_badShare;
	double m_badFactor;
	base::Duration m_faultDelay;
	size_t m_size;
	int m_slots = 6;
	double m_perSecond;
	std::vector<back_end> m_backEnds;
	std::deque<delayed_report> m_reports;
	rollout::version_evidence m_evidence{m_time};
	rollout::rollout_driver m_driver{{}};
	wire::RolloutRow m_row;         //!< Row at the leader.
	wire::RolloutRow m_rowAtNodes;  //!< Row at the nodes.
	base::TimePoint m_nodesUpdateAt{};
	base::TimePoint m_writtenAt{};
	base::TimePoint m_orderedAt{};
	base::TimePoint m_begunAt{};
	int64_t m_all = 0;
	std::optional<base::TimePoint> m_fiftiethBadAnswerAt;
	base::TimePoint m_lastToTarget{};
	rollout_outcome m_outcome;
};

}  // namespace driftlug::test

#endif  // DRIFTLUG_TEST_ROLLOUT_SIMULATED_SERVICE_H_HEADER_GUARD
