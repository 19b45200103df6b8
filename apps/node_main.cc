/// driftlug-node: accepts calls of callers, forwards them to other nodes, and admits calls to its local back end.
#include "node_daemon.h"

int main(int argc, char** argv) { return driftlug::apps::runNode(argc, argv, {}); }
