/// Mutates valid input randomly; deterministic for a seed.
#ifndef DRIFTLUG_TEST_FUZZ_MUTATOR_H_HEADER_GUARD
#define DRIFTLUG_TEST_FUZZ_MUTATOR_H_HEADER_GUARD

#include <algorithm>
#include <array>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

#include "base/random.h"

namespace driftlug::test
{
/// @returns The number of inputs that a test tries: DRIFTLUG_FUZZ_ROUNDS if set, otherwise a number that keeps the test
/// short.
inline int fuzzRounds(int _usual)
{
	const char* asked = std::getenv("DRIFTLUG_FUZZ_ROUNDS");
	return nullptr == asked ? _usual : std::atoi(asked);
}

/// @returns The seed: DRIFTLUG_FUZZ_SEED if set, otherwise 1.
inline uint64_t fuzzSeed()
{
	const char* asked = std::getenv("DRIFTLUG_FUZZ_SEED");
	return nullptr == asked ? 1 : std::strtoull(asked, nullptr, 10);
}

class mutator
{
public:
	explicit mutator(uint64_t _seed)
		: m_random(_seed)
	{
	}

	/// @returns A random sample with up to eight mutations.
	std::string next(const std::vector<std::string>& _samples)
	{
		std::string bytes = _samples[m_random.below(_samples.size())];
		const auto changes = m_random.below(9);
		for (size_t i = 0; i < changes; ++i)
		{
			change(&bytes, _samples);
		}
		return bytes;
	}

	base::RandomSource& random()
	{
		return m_random;
	}

private:
	void change(std::string* _bytes, const std::vector<std::string>& _samples)
	{
		const auto at = m_random.below(_bytes->size() + 1);
		switch (m_random.below(7))
		{
			case 0:
				if (at < _bytes->size())
				{
					(*_bytes)[at] = static_cast<char>(m_random.below(256));
				}
				return;
			case 1:
				if (at < _bytes->size())
				{
					(*_bytes)[at] ^= static_cast<char>(1 << m_random.below(8));
				}
				return;
			case 2:
				_bytes->insert(at, 1, static_cast<char>(m_random.below(256)));
				return;
			case 3:
				_bytes->erase(at, m_random.below(16));
				return;
			case 4:
				_bytes->insert(at, _bytes->substr(m_random.below(_bytes->size() + 1), m_random.below(40)));
				return;
			case 5:
			{
				const auto& other = _samples[m_random.below(_samples.size())];
				_bytes->insert(at, other.substr(m_random.below(other.size() + 1), m_random.below(40)));
				return;
			}
			default:
				replaceWord(_bytes, at);
		}
	}

	/// Replaces a number or a word by an unusual value.
	void replaceWord(std::string* _bytes, size_t _at)
	{
		static constexpr std::array<std::string_view, 16> kUnusualValues = {"-1",
																			"0",
																			"18446744073709551616",
																			"9223372036854775807",
																			"-9223372036854775808",
																			"1e400",
																			"1.5",
																			"null",
																			"[]",
																			"true",
																			"{}",
																			"\"\"",
																			"\"\xff\"",
																			"[[[[[",
																			"NaN",
																			"4294967296"};
		const auto isWord = [](char _character)
		{
			return std::isalnum(static_cast<unsigned char>(_character)) || '"' == _character || '-' == _character;
		};
		auto end = _at;
		while (end < _bytes->size() && isWord((*_bytes)[end]))
		{
			++end;
		}
		_bytes->replace(_at, end - _at, kUnusualValues[m_random.below(kUnusualValues.size())]);
	}

	base::RandomSource m_random;
};

}  // namespace driftlug::test

#endif  // DRIFTLUG_TEST_FUZZ_MUTATOR_H_HEADER_GUARD
