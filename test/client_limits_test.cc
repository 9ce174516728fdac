#include <sys/socket.h>
#include <unistd.h>

#include "test/node_world.h"

extern "C"
{
#include "http/body.h"
#include "http/connections.h"
#include "node/machine.h"
#include "platform/json.h"
}

/* Bounds on what clients make a process hold. The crowds themselves: test/crowd. */

static constexpr size_t MB = 1 << 20;

TEST (Budget, LargeRequestsLeaveRoomForSmallOnes)
{
  struct GspanBudget budget;

  gspan_budget_init (&budget, 8 * MB);
  EXPECT_TRUE (gspan_budget_take (&budget, 6 * MB, 0));
  EXPECT_FALSE (gspan_budget_take (&budget, MB, 0));
  EXPECT_FALSE (gspan_budget_take (&budget, 1000, GSPAN_BUDGET_SMALL));
  EXPECT_TRUE (gspan_budget_take (&budget, 1000, 0));
  gspan_budget_give (&budget, 6 * MB);
  EXPECT_TRUE (gspan_budget_has_room (&budget, 5 * MB, false));
  EXPECT_EQ (budget.held, 1000U);
}

/* A length that is announced and not sent must cost nothing. */
TEST (Body, TakesRoomForWhatHasCome)
{
  struct GspanBudget budget;
  struct GspanBody body;
  std::string data (100000, 'x');

  gspan_budget_init (&budget, 64 * MB);
  gspan_body_init (&body, &budget);
  body.announced = 30 * MB;
  EXPECT_EQ (gspan_body_add (&body, data.data (), data.size (), 32 * MB), GSPAN_BODY_ADDED);
  EXPECT_LE (budget.held, data.size () * 5 / 4 + 4096);
  GBytes *bytes = gspan_body_steal (&body);
  EXPECT_EQ (g_bytes_get_size (bytes), data.size ());
  EXPECT_GT (budget.held, 0U); /* the request that holds them isn't over */
  gspan_body_finish (&body);
  EXPECT_EQ (budget.held, 0U);
  g_bytes_unref (bytes);
}

TEST (Body, AboveItsLimitOrDroppedNothingIsKept)
{
  struct GspanBudget budget;
  struct GspanBody body;
  std::string data (1000, 'x');

  gspan_budget_init (&budget, MB);
  gspan_body_init (&body, &budget);
  EXPECT_EQ (gspan_body_add (&body, data.data (), 1000, 1500), GSPAN_BODY_ADDED);
  EXPECT_EQ (gspan_body_add (&body, data.data (), 1000, 1500), GSPAN_BODY_TOO_LONG);
  EXPECT_EQ (budget.held, 0U);
  gspan_body_finish (&body);
  gspan_body_init (&body, &budget);
  gspan_body_drop (&body);
  EXPECT_EQ (gspan_body_add (&body, data.data (), 1000, 1500), GSPAN_BODY_ADDED);
  EXPECT_EQ (body.received, 1000U);
  EXPECT_EQ (budget.held, 0U);
  gspan_body_finish (&body);
}

/* A body that finds no room keeps what it has, and goes on where it stopped. */
TEST (Body, WithoutRoomNothingIsAddedOrLost)
{
  struct GspanBudget budget;
  struct GspanBody body;
  std::string data (200000, 'x');

  gspan_budget_init (&budget, MB);
  gspan_body_init (&body, &budget);
  EXPECT_EQ (gspan_body_add (&body, data.data (), 100000, 2 * MB), GSPAN_BODY_ADDED);
  ASSERT_TRUE (gspan_budget_take (&budget, 600000, 0));
  EXPECT_EQ (gspan_body_add (&body, data.data (), 200000, 2 * MB), GSPAN_BODY_NO_ROOM);
  EXPECT_EQ (body.len, 100000U);
  gspan_budget_give (&budget, 600000);
  EXPECT_EQ (gspan_body_add (&body, data.data (), 200000, 2 * MB), GSPAN_BODY_ADDED);
  EXPECT_EQ (body.len, 300000U);
  gspan_body_finish (&body);
}

/* A large body grows in large steps; one that finds no room for a step must not wait for ever. */
TEST (Body, TakesLessThanAStepWhereThereIsRoomForThat)
{
  struct GspanBudget budget;
  struct GspanBody body;
  std::string data (400000, 'x');

  gspan_budget_init (&budget, MB);
  gspan_body_init (&body, &budget);
  ASSERT_EQ (gspan_body_add (&body, data.data (), data.size (), 2 * MB), GSPAN_BODY_ADDED);
  ASSERT_TRUE (gspan_budget_take (&budget, MB - budget.small_for - budget.held - 70000, MB));
  EXPECT_EQ (gspan_body_add (&body, data.data (), 60000, 2 * MB), GSPAN_BODY_ADDED);
  EXPECT_EQ (body.len, 460000U);
  gspan_body_finish (&body);
}

TEST (Connections, TheOneWithoutProgressForLongestGivesWay)
{
  struct GspanConnections connections;
  int pairs[4][2];
  struct GspanConnection *items[4];
  char byte;

  gspan_connections_init (&connections, 3, 60 * GSPAN_SECOND);
  for (int i = 0; i < 4; i++)
    {
      ASSERT_EQ (socketpair (AF_UNIX, SOCK_STREAM, 0, pairs[i]), 0);
      items[i] = gspan_connections_add (&connections, pairs[i][0], (i + 1) * GSPAN_SECOND);
    }
  items[0]->reading_since = 0; /* its request is at work */
  gspan_connection_begin (items[1], true, 2 * GSPAN_SECOND);
  gspan_connection_note_body (items[1], 5000, 9 * GSPAN_SECOND);
  EXPECT_TRUE (gspan_connections_close_surplus (&connections, 10 * GSPAN_SECOND));
  EXPECT_TRUE (items[2]->is_closing);
  EXPECT_EQ (recv (pairs[2][1], &byte, 1, MSG_DONTWAIT), 0);
  EXPECT_TRUE (gspan_connections_close_surplus (&connections, 10 * GSPAN_SECOND));
  EXPECT_TRUE (items[3]->is_closing);
  EXPECT_FALSE (gspan_connections_close_surplus (&connections, 10 * GSPAN_SECOND));
  EXPECT_FALSE (items[0]->is_closing);
  for (auto &pair : pairs)
    {
      close (pair[0]);
      close (pair[1]);
    }
  gspan_connections_finish (&connections);
}

/* A server that may have one connection closed it as soon as it came. */
TEST (Connections, TheOnlyOneThatIsAllowedIsKept)
{
  struct GspanConnections connections;
  struct GspanConnection *item;

  gspan_connections_init (&connections, 1, 60 * GSPAN_SECOND);
  item = gspan_connections_add (&connections, -1, GSPAN_SECOND);
  EXPECT_FALSE (gspan_connections_close_surplus (&connections, 2 * GSPAN_SECOND));
  EXPECT_FALSE (item->is_closing);
  gspan_connections_finish (&connections);
}

TEST (Connections, BodyOfAByteASecondIsClosed)
{
  struct GspanConnections connections;
  struct GspanConnection *item;

  gspan_connections_init (&connections, 10, 60 * GSPAN_SECOND);
  item = gspan_connections_add (&connections, -1, 0);
  gspan_connection_begin (item, true, GSPAN_SECOND);
  for (guint64 s = 2; s <= 11; s++)
    {
      gspan_connection_note_body (item, s, s * GSPAN_SECOND);
      EXPECT_EQ (gspan_connections_close_slow (&connections, s * GSPAN_SECOND), 0U);
    }
  EXPECT_EQ (gspan_connections_close_slow (&connections, 12 * GSPAN_SECOND), 1U);
  gspan_connections_finish (&connections);
}

/*
 * One server's answers and all collections, filled at once with what an idle process has. It leaves
 * out the other servers, connection buffers and decoding, which AllPartsTogether... counts.
 */
TEST (Machine, PartsFitIntoTheMachine)
{
  for (guint64 memory : { 120, 160, 260, 512 })
    {
      struct GspanMachine machine;
      gsize total;

      gspan_machine_divide (&machine, memory, 3075, 32 * MB, 2000);
      total = machine.request_bytes + machine.output_bytes + machine.collected_bytes
              + machine.platform_bytes + machine.held_bytes + 14 * MB;
      EXPECT_LE (total, memory * MB) << memory;
      EXPECT_GE (machine.request_bytes, 40 * MB); /* a body at the limit is served in calm */
      EXPECT_GE (machine.job_values, 40000U);
      EXPECT_LE (2 * machine.callers + machine.relay + 2 * machine.service + machine.kept + 50,
                 3075U);
    }
}

/* Settings of before, which say nothing of the machine, keep the connections that they had. */
TEST (Machine, DefaultsAllowTheConnectionsOfBefore)
{
  struct GspanMachine machine;

  gspan_machine_divide (&machine, 256, 0, 32 * MB, 2000);
  EXPECT_EQ (machine.callers, 2000U);
}

/* Known red: four servers may each hold as much of answers, beside the buffers of connections. */
TEST (Machine, AllPartsTogetherFitIntoTheMachine)
{
  for (guint64 memory : { 120, 160, 260, 512 })
    {
      struct GspanMachine machine;
      gsize total;

      gspan_machine_divide (&machine, memory, 3075, 32 * MB, 2000);
      total = machine.request_bytes + 4 * machine.output_bytes + machine.collected_bytes
              + machine.platform_bytes + machine.held_bytes + machine.job_values * 320
              + (machine.callers + machine.relay + 2 * machine.service) * gsize (32 << 10)
              + 14 * MB;
      EXPECT_LE (total, memory * MB) << memory;
    }
}

TEST (Json, MarksInStringsAreNoValues)
{
  std::string text = R"({"a\"{[,:":[1,2,{}],"b":"x,y"})";

  EXPECT_EQ (gspan_json_count_values ({ text.data (), text.size () }), 9U);
}

class ClientLimits : public NodeTest
{
};

/* Documents of very many short values took a hundred times their size once decoded. */
TEST_F (ClientLimits, JobOfVeryManyValuesIsRefusedBeforeItIsDecoded)
{
  Rig &rig = start_nodes ();
  std::string body = "{\"items\":[";

  for (int i = 0; i < 200000; i++)
    body += "{},";
  rig.request (1, "POST", "/batch/j1", { "Host: a.example", "X-Attempt-Id: j1" }, body + "{}]}");
  ASSERT_NE (response_to (rig, 1), nullptr);
  EXPECT_EQ (response_to (rig, 1)->status, 400);
}

/* A route that appears while a body is read: the request has lost its body and may not run. */
TEST_F (ClientLimits, RequestWhoseBodyWasDroppedIsNotRun)
{
  Rig &rig = start_nodes ();
  GspanHeaders headers;
  GspanEvent event{};

  gspan_headers_init (&headers);
  gspan_headers_add (&headers, "Host", gspan_str_from ("a.example"));
  event.kind = GSPAN_EVENT_REQUEST;
  event.u.request.request = 1;
  event.u.request.method = gspan_str_from ("POST");
  event.u.request.path = gspan_str_from ("/desk/x");
  event.u.request.headers = &headers;
  event.u.request.body = g_bytes_new (nullptr, 0);
  event.u.request.body_dropped = true;
  rig.handle (event);
  ASSERT_NE (response_to (rig, 1), nullptr);
  EXPECT_EQ (response_to (rig, 1)->status, 503);
  EXPECT_TRUE (rig.exchanges.empty ());
  g_bytes_unref (event.u.request.body);
  gspan_headers_finish (&headers);
}

TEST_F (ClientLimits, BodiesThatNobodyLooksAtAreNotWanted)
{
  Rig &rig = start_nodes ();
  GspanHeaders headers;

  gspan_headers_init (&headers);
  gspan_headers_add (&headers, "Host", gspan_str_from ("a.example"));
  auto wants = [&] (const char *method, const char *path) {
    return gspan_node_wants_body (&rig.node, gspan_str_from (method), gspan_str_from (path),
                                  &headers);
  };
  EXPECT_TRUE (wants ("POST", "/desk/x"));
  EXPECT_TRUE (wants ("POST", "/batch/j"));
  EXPECT_FALSE (wants ("POST", "/nowhere/x"));
  EXPECT_FALSE (wants ("GET", "/api/ready"));
  EXPECT_FALSE (wants ("DELETE", "/api/lots/j"));
  gspan_headers_finish (&headers);
}
