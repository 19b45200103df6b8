/// Invalid configurations between a change and its resend, whose acknowledgement was lost. See claim.txt.
#include "core.h"

using namespace review;

namespace {

constexpr int kIdleRoutes = 800;
constexpr int kRoutes = kIdleRoutes + 1900;  // big_config; its largest dose on the site is 1,976
constexpr int kInvalid = 8;                  // bad_config, how = unknown_service, count = 8, gap_s = 0.45: a dose of the site
constexpr long kGapMs = 450;
constexpr long kAckLostMs = 8000;  // ack_lost, for_s = 8; each is lost: x = 0.6 on the site, up to twice that
const std::vector<std::string> kServices = {"huvo11a", "kafi81c", "wuno96b", "pesi27d", "loba45e"};

/// @param listed whether the services stand in the list; without them each route names unknown services
std::string config(unsigned version, unsigned base, int routes, bool listed) {
  ConfigText text(version, base);
  for (int i = 0; i < routes; ++i) {
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
  Operator second(core, record);
  if (second.order("version 1", "PUT", "/config", config(1, 0, kIdleRoutes, true), 20'000).status != 200) return 2;

  // The first operator grows the configuration, and gets no clear answer while its acknowledgements are lost.
  Operator first(core, record, false);
  if (trouble) first.loseAcksUntil(nowMs() + kAckLostMs);
  int answer = 0;
  const auto grown = config(3, 1, kRoutes, true);
  std::thread sender(
      [&] { answer = first.order("version 3", "PUT", "/config", grown, nowMs() + 30'000).status; });

  // The second one waits until it reads version 3, then sends invalid configurations on top of it.
  const long readBy = nowMs() + 15'000;
  bool inForce = false;
  while (!inForce && nowMs() < readBy) {
    const auto read = second.order("read", "GET", "/config", "", readBy);
    inForce = read.message.body.rfind("{\"version\":\"00000003\"", 0) == 0;
  }
  int refused = 0;
  for (int i = 0; inForce && trouble && i < kInvalid; ++i) {
    const long begun = nowMs();
    const auto name = "invalid " + std::to_string(i + 1);
    refused +=
        second.order(name, "PUT", "/config", config(5 + 2 * i, 3, kRoutes, false), nowMs() + 8000).status == 400 ? 1 : 0;
    sleepUntil(begun + kGapMs);
  }
  sender.join();
  if (!inForce || (trouble && (refused != kInvalid || first.lostAcks() == 0))) return 2;

  const auto read = second.order("read", "GET", "/config", "", nowMs() + 10'000);
  const bool still = read.message.body.rfind("{\"version\":\"00000003\"", 0) == 0;
  // A valid change on top of the newest version; it is due after ackMs (4,000) and 3 ms for each route, 12.1 s.
  const long sentAt = nowMs();
  const int next = second.order("version 21", "PUT", "/config", config(0x21, 3, kRoutes, true), sentAt + 20'000).status;
  record.line("version 3: acknowledged %d times without the operator seeing it, last answer to its resend %d; read: %s; "
              "next valid change -> %d after %ld ms",
              first.lostAcks(), answer, still ? "version 3" : "another version", next, nowMs() - sentAt);
  const bool resendRefused = still && answer >= 400 && answer < 500;
  if (resendRefused) {
    record.line("BROKEN CONFIG: an acknowledged change was resent, nothing else had changed, and it was refused");
  }
  if (next != 200) record.line("ALSO SEEN: no valid change is acknowledged any more");
  return resendRefused ? 1 : 0;
}
