/// Invalid configurations between an acknowledged change and its resend. See claim.txt.
#include "core.h"

using namespace review;

namespace {

constexpr int kRoutes = 2700;  // 800 idle routes and 1,900 of a big_config, whose largest dose on the site is 1,976
constexpr int kInvalid = 8;    // bad_config, count = 8, gap_s = 0.45, as on the site
constexpr long kGapMs = 450;
const std::vector<std::string> kServices = {"huvo11a", "kafi81c", "wuno96b", "pesi27d", "loba45e"};

/// @param listed whether the services stand in the list; without them each route names unknown services
std::string config(unsigned version, unsigned base, bool listed) {
  ConfigText text(version, base);
  for (int i = 0; i < kRoutes; ++i) {
    const auto number = std::to_string(i);
    text.route("r-" + number, "map" + std::to_string(i % 40) + ".example", "/sheet" + number + "/", "safe", kServices);
  }
  for (const auto& service : kServices) {
    if (listed) text.service(service);
  }
  return text.text();
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5) return 2;
  limitTime(110);
  const Paths paths{argv[1], argv[2]};
  const bool trouble = std::string(argv[4]) != "0";
  Record record(argv[3]);
  Core core(paths, 5, record);
  if (!core.start()) return 2;
  Operator human(core, record);

  const auto first = config(1, 0, true);
  if (human.order("version 1", "PUT", "/config", first, 20'000).status != 200) return 2;
  const auto second = config(3, 1, true);
  if (human.order("version 3", "PUT", "/config", second, nowMs() + 20'000).status != 200) return 2;

  int refused = 0;
  for (int i = 0; trouble && i < kInvalid; ++i) {
    const long begun = nowMs();
    const auto status =
        human.order("invalid " + std::to_string(i + 1), "PUT", "/config", config(5 + 2 * i, 3, false), nowMs() + 8000).status;
    refused += status >= 400 && status < 500 ? 1 : 0;
    while (nowMs() < begun + kGapMs) {
      core.watch();
      sleepMs(10);
    }
  }
  if (trouble && refused != kInvalid) {
    record.line("%d of %d invalid configurations were refused", refused, kInvalid);
    return 2;
  }

  // The acknowledgement of version 3 is taken to be lost: the same order is sent again. Nothing has changed since.
  const int resent = human.order("version 3 again", "PUT", "/config", second, nowMs() + 10'000).status;
  const int read = human.order("read", "GET", "/config", "", nowMs() + 10'000).status;
  // A valid change on top of the newest version; it is due after ackMs (4,000) and 3 ms for each route, 12.1 s.
  const long sentAt = nowMs();
  const int next = human.order("version 21", "PUT", "/config", config(0x21, 3, true), nowMs() + 20'000).status;
  record.line("resend of acknowledged version 3 -> %d; read -> %d; next valid change -> %d after %ld ms", resent, read,
              next, nowMs() - sentAt);
  const bool resendRefused = resent >= 400 && resent < 500;
  if (resendRefused) record.line("BROKEN CONFIG: an acknowledged change was resent, nothing else had changed, and it was refused");
  if (next != 200) record.line("ALSO SEEN: no valid change is acknowledged any more");
  return resendRefused ? 1 : 0;
}
