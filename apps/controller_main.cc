/// driftlug-controller: accepts edits, replicates the table and sends it to relays.
#include "controller_daemon.h"

int main(int argc, char** argv) { return driftlug::apps::runController(argc, argv, {}); }
