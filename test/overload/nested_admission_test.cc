#include "overload/nested_admission.h"

#include <catch2/catch.hpp>

#include <deque>
#include <functional>

#include "manual_time.h"

namespace driftlug::overload
{
namespace
{
constexpr base::Duration kStep = base::milliseconds(5);

/// A node that gets an outer request every 5 ms. Each makes one nested call, which takes 50 ms; the service behind
/// refuses those beyond a number per 100 ms at once.
struct RingFixture
{
	/// @param[in] _outcome Of the n-th nested call within 100 ms.
	void play(base::Duration _length, const std::function<nested_outcome(int)>& _outcome)
	{
		const auto end = time.now() + _length;
		while (time.now() < end)
		{
			step(_outcome);
		}
	}

	void step(const std::function<nested_outcome(int)>& _outcome)
	{
		time.advance(kStep);
		if (++steps % 20 == 0)
		{
			inWindow = 0;
		}
		while (!ends.empty() && ends.front() <= time.now())
		{
			ends.pop_front();
			admission.onNestedEnded(nested_outcome::served, base::milliseconds(50));
		}
		++offered;
		if (!admission.admitOuter())
		{
			return;
		}
		++admitted;
		admission.onNestedBegan();
		const auto outcome = _outcome(inWindow++);
		if (nested_outcome::served == outcome)
		{
			ends.push_back(time.now() + base::milliseconds(50));
			return;
		}
		refused += nested_outcome::refused_for_capacity == outcome ? 1 : 0;
		admission.onNestedEnded(outcome, base::milliseconds(1));
	}

	double admittedOf(base::Duration _length, const std::function<nested_outcome(int)>& _outcome)
	{
		offered = admitted = refused = 0;
		play(_length, _outcome);
		return static_cast<double>(admitted) / offered;
	}

	test::ManualTime time;
	nested_admission admission{time};
	std::deque<base::TimePoint> ends;
	int steps = 0;
	int inWindow = 0;
	int offered = 0;
	int admitted = 0;
	int refused = 0;
};

nested_outcome served(int)
{
	return nested_outcome::served;
}

nested_outcome refusedForCapacity(int)
{
	return nested_outcome::refused_for_capacity;
}

}  // namespace

// Guards against outer requests that take slots for work which is lost, and against a service that stays shut.
TEST_CASE_METHOD(RingFixture,
				 "a service behind that refuses all for 2 s closes the node to a few, and less than 1 s longer")
{
	CHECK(admittedOf(base::seconds(1), served) == 1);
	play(base::milliseconds(500), refusedForCapacity);
	const double during = admittedOf(base::milliseconds(1500), refusedForCapacity);
	CHECK(during < 0.15);
	CHECK(during > 0.05);
	play(base::seconds(1), served);
	CHECK(admission.share() == 1);
	CHECK(admission.recoveryTime().count() == 0);
	CHECK(admittedOf(base::seconds(1), served) == 1);
}

// Guards against a share that falls too far: the service behind then has idle slots.
TEST_CASE_METHOD(RingFixture, "with half of the capacity behind, about half of the requests are admitted")
{
	play(base::seconds(1), served);
	const auto half = [](int _index)
	{
		return _index < 10 ? nested_outcome::served : nested_outcome::refused_for_capacity;
	};
	play(base::seconds(1), half);
	const double share = admittedOf(base::seconds(5), half);
	CHECK(share > 0.4);
	CHECK(share < 0.65);
	CHECK(refused < 0.25 * admitted);
}

// Guards against a node that refuses work because the back ends behind fail, which admission can't mend.
TEST_CASE_METHOD(RingFixture, "failures and refusals of back ends don't count")
{
	CHECK(admittedOf(base::seconds(3),
					 [](int)
					 {
						 return nested_outcome::other;
					 })
		  == 1);
	CHECK(admission.share() == 1);
	CHECK(admission.inFlight() == 0);
}

// Guards against a node that closes because of single refusals, which are part of normal load.
TEST_CASE_METHOD(RingFixture, "one refusal in twenty is tolerated")
{
	const auto few = [](int _index)
	{
		return _index == 19 ? nested_outcome::refused_for_capacity : nested_outcome::served;
	};
	play(base::seconds(1), few);
	CHECK(admittedOf(base::seconds(3), few) > 0.95);
}

// Guards against slots that all wait for nested calls, when the called service is slow and refuses calls.
TEST_CASE_METHOD(RingFixture, "calls in flight are bounded by what was observed while the share is below 1")
{
	play(base::seconds(2), served);
	CHECK(admission.maxInFlight() == 0);
	play(base::milliseconds(300), refusedForCapacity);
	const int bound = admission.maxInFlight();
	// 200 calls/s of 50 ms need 10 in flight; the rate has fallen since.
	CHECK(bound >= 1);
	CHECK(bound <= 20);
	const int before = admission.inFlight();
	for (int i = before; i < bound; ++i)
	{
		admission.onNestedBegan();
	}
	int went = 0;
	for (int i = 0; i < 100; ++i)
	{
		went += admission.admitOuter() ? 1 : 0;
	}
	CHECK(went <= 1);
}

// Guards against an old observation that closes the node to the first requests after a pause.
TEST_CASE_METHOD(RingFixture, "the share is forgotten when nothing was observed for over a second")
{
	play(base::milliseconds(500), refusedForCapacity);
	CHECK(admission.share() < 0.2);
	time.advance(base::milliseconds(1300));
	CHECK(admission.share() == 1);
}

}  // namespace driftlug::overload
