// Figures of the fleet whose back ends crash, printed; hidden, run by test-incidents "[.figures]".
#include <catch2/catch.hpp>

#include <cstdio>

#include "incidents/crash_fleet.h"

namespace driftlug::test
{
namespace
{
constexpr int kSeeds = 20;
constexpr base::Duration kFrom = base::seconds(5);
constexpr base::Duration kUntil = base::seconds(60);
constexpr base::Duration kEnd = base::seconds(65);

struct sums
{
	double crashes = 0;
	double worst = 0;
	double plain = 0;
	double pastThird = 0;
	double inTime = 0;
	double lost = 0;
	double held = 0;

	void add(const crash_fleet& _fleet, const std::vector<std::string>& _fatal)
	{
		for (const auto& path : _fatal)
		{
			const auto crashes = static_cast<double>(_fleet.backEnds.crashesBy(path));
			worst = std::max(worst, crashes);
			this->crashes += crashes / static_cast<double>(_fatal.size());
			pastThird =
				std::max(pastThird, static_cast<double>(_fleet.backEnds.arrivalsPastThird(path, base::seconds(3))));
		}
		const auto asked = static_cast<double>(_fleet.callers.asked);
		plain += static_cast<double>(_fleet.backEnds.plain.size());
		inTime += _fleet.callers.inTime / asked;
		lost += static_cast<double>(_fleet.callers.lostOthers(_fleet.backEnds)) / asked;
		held += _fleet.callers.heldOthers;
	}

	void print(const char* _name) const
	{
		std::printf(
			"%-34s ends a guilty request %.2f (most %.0f, past third %.0f), plain %.1f, in time %.4f, lost %.5f, "
			"innocents "
			"held %.2f\n",
			_name, crashes / kSeeds, worst, pastThird, plain / kSeeds, inTime / kSeeds, lost / kSeeds, held / kSeeds);
	}
};

void crashPlainly(crash_fleet* _fleet, base::Duration _gap)
{
	if (_fleet->now() > kUntil)
	{
		return;
	}
	_fleet->node(_fleet->random().below(4)).backEnd()->crashPlainly();
	_fleet->queue().after(_gap / 2 + _fleet->random().duration(_gap),
						  [_fleet, _gap]
						  {
							  crashPlainly(_fleet, _gap);
						  });
}

void play(const char* _name, double _perSecond, size_t _guilty, bool _plain, size_t _backEnds = 4)
{
	sums total;
	for (int seed = 1; seed <= kSeeds; ++seed)
	{
		crash_fleet fleet(static_cast<uint64_t>(seed), _backEnds);
		for (size_t i = 0; i < _guilty; ++i)
		{
			fleet.backEnds.fatal.push_back("/tiles/fatal-" + std::to_string(i));
		}
		fleet.callAllTheTime(_perSecond, kUntil);
		fleet.runUntil(kFrom);
		for (const auto& path : fleet.backEnds.fatal)
		{
			fleet.repeat(path, base::milliseconds(2500), kUntil);
			fleet.runUntil(fleet.now() + fleet.random().duration(base::seconds(2)));
		}
		if (_plain)
		{
			crashPlainly(&fleet, base::seconds(4));
		}
		fleet.runUntil(kEnd);
		total.add(fleet, fleet.backEnds.fatal);
	}
	total.print(_name);
}

}  // namespace

TEST_CASE("figures of crashes", "[.figures]")
{
	play("nothing crashes", 170, 0, false);
	play("one guilty request, 170 a second", 170, 1, false);
	play("one guilty request, 250 a second", 250, 1, false);
	play("one guilty, three back ends, 150", 150, 1, false, 3);
	play("one guilty, two back ends, 80", 80, 1, false, 2);
	play("one guilty, one back end, 40", 40, 1, false, 1);
	play("ten guilty requests", 170, 10, false);
	play("plain crashes", 170, 0, true);
	play("plain crashes, 250 a second", 250, 0, true);
	play("both", 170, 1, true);
}

}  // namespace driftlug::test
