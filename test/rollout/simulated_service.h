/// A service with back ends of two versions on the virtual clock, for rollouts decided by the true classes.
#ifndef DRIFTLUG_TEST_ROLLOUT_SIMULATED_SERVICE_H_HEADER_GUARD
#define DRIFTLUG_TEST_ROLLOUT_SIMULATED_SERVICE_H_HEADER_GUARD

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "manual_time.h"
#include "rollout/rollout_driver.h"
#include "rollout/run_statistics.h"

namespace driftlug::test
{
/// In which way a version is bad.
enum class version_fault
{
	none,
	fails,      //!< A share of its answers.
	slow,       //!< A share of its answers takes several times as long.
	oneRoute,   //!< Fails on one route only.
	underLoad,  //!< Fails while more than half of its slots are busy.
	later,      //!< Fails from some seconds after its start on.
};

/// What happens to the service meanwhile, to back ends of both versions alike.
struct background_faults
{
	bool grey = false;             //!< Some back ends fail part of their requests.
	bool slow = false;             //!< Some work several times as long.
	bool dependencyFails = false;  //!< A service behind it fails: a share of all answers fails for some seconds.
	bool burst = false;            //!< Twice the requests for some seconds.
	bool crashes = false;          //!< Some are down for four seconds.
};

/// How a rollout went.
struct rollout_outcome
{
	wire::RolloutState::type state = wire::RolloutState::RUNNING;
	base::Duration decidedAfter{0};  //!< From the order.
	double exposure = 0;             //!< Requests to the version on trial, as a share of all until its time.
	int64_t requests = 0;            //!< To the version on trial.
	int64_t badAnswers = 0;          //!< Of it.
	std::optional<base::Duration>
		rollbackDelay;  //!< From the fiftieth bad answer until no request went there any more.
	std::string reason;
};

/// One rollout, drawn by a seed.
///
/// Back ends differ in speed and start cold; routes differ in work, spread as lognormal. Reports come each quarter of a
/// second, 150 ms late, and what is decided reaches the nodes after 300 ms.
class simulated_service
{
public:
	simulated_service(uint64_t _seed, version_fault _bad, const background_faults& _faults);

	/// Plays the order.
	/// @param[in] _finishBy Its time.
	rollout_outcome run(base::Duration _finishBy);

	/// @returns Back ends of each version.
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
		double failing = 0;    //!< Share of its answers, by a fault of its own.
		double slower = 1;     //!< By a fault of its own.
		bool crashes = false;  //!< It is down for some seconds.
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
	wire::RolloutRow m_row;      //!< As the leader has it.
	wire::RolloutRow m_atNodes;  //!< As the nodes have it.
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
