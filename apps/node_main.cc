/// driftlug-node: takes calls of callers, carries them to other nodes, and admits them to the back end beside it.
#include "node_daemon.h"

int main(int argc, char** argv) { return driftlug::apps::runNode(argc, argv, {}); }
