#include "cmd/daemon.h"
#include "desk/desk.h"
#include "desk/keyed_calls.h"
#include "desk/batch_pulls.h"
#include "desk/key_partitions.h"

static void
compose (struct GspanBoard *board)
{
  board->desk = g_new0 (struct GspanDesk, 1);
  gspan_desk_init (board->desk);
  board->keyed_calls = g_new0 (struct GspanKeyedCalls, 1);
  gspan_keyed_calls_init (board->keyed_calls);
  board->key_partitions = g_new0 (struct GspanKeyPartitions, 1);
  gspan_key_partitions_init (board->key_partitions);
  board->batch_pulls = g_new0 (struct GspanBatchPulls, 1);
  gspan_batch_pulls_init (board->batch_pulls);
}

int
main (int argc, char **argv)
{
  static const struct GspanDaemon daemon
      = { "gspan-entry", "Takes the requests of desk callers and trainers.", compose };

  return gspan_daemon_main (&daemon, argc, argv);
}
