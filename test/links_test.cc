#include "node_world.h"

/* Nodes that lose their links to the replicas, while callers, the store and other nodes reach them.
 */

class Links : public NodeTest
{
protected:
  guint64 next_request = 1000;

  /* Starts NODES nodes before three replicas of the desk's service and two of the model's. */
  void
  start (unsigned nodes, const char *desk_type = "idempotent")
  {
    start_nodes (nodes);
    world.put ("servers", "d3", replica_spec ("desk", 5, 0).c_str ());
    world.put ("config", "main", config_spec (4, desk_type).c_str ());
    play (GSPAN_SECOND);
  }

  /* Runs the world while replicas answer what reaches them. */
  void
  play (guint64 us)
  {
    for (guint64 end = world.now + us; world.now < end;)
      {
        world.run (10 * GSPAN_MS);
        for (auto &rig : world.rigs)
          answer_replicas (*rig);
      }
  }

  /* Answers after 20 ms. New connections over links that are cut end by their timeout, kept ones
   * hang. */
  void
  answer_replicas (Rig &rig)
  {
    std::vector<Exchange> open = rig.exchanges;

    for (const auto &exchange : open)
      {
        guint64 age_us = world.now - exchange.sent_at_us;

        if (exchange.url.find ("http://10.0.0.") != 0)
          continue;
        if (!rig.cut_from_replicas && age_us >= 20 * GSPAN_MS)
          answer (rig, exchange);
        else if (rig.cut_from_replicas && exchange.new_connection
                 && age_us >= exchange.connect_timeout_us)
          rig.http_done (exchange, GSPAN_HTTP_NOT_SENT, 0, {}, "");
      }
  }

  static void
  answer (Rig &rig, const Exchange &exchange)
  {
    if (exchange.url.find ("/batch/") != std::string::npos)
      finish_run (rig, exchange, 3);
    else
      rig.http_done (exchange, GSPAN_HTTP_COMPLETE, 200, signed_head, "answer");
  }

  /* Sends COUNT requests to each of RIGS, one after the other; how many are served in time. */
  unsigned
  served (const std::vector<Rig *> &rigs, unsigned count)
  {
    std::vector<std::pair<Rig *, guint64>> sent;
    unsigned good = 0;

    for (unsigned i = 0; i < count; i++)
      {
        for (Rig *rig : rigs)
          {
            sent.emplace_back (rig, ++next_request);
            send_desk_request (*rig, next_request, "a" + std::to_string (next_request));
          }
        play (900 * GSPAN_MS); /* beyond their deadline */
      }
    for (const auto &request : sent)
      {
        const CallerResponse *response = response_to (*request.first, request.second);

        good += response != nullptr && response->status == 200;
      }
    return good;
  }
};

TEST_F (Links, CallersOfNodesWithoutLinksAreServedAsThoseOfOthers)
{
  start (4);
  world.rigs[0]->cut_from_replicas = true;
  world.rigs[1]->cut_from_replicas = true;
  EXPECT_EQ (served ({ world.rigs[2].get (), world.rigs[3].get () }, 10), 20U);
  EXPECT_GE (served ({ world.rigs[0].get (), world.rigs[1].get () }, 10), 19U);
}

TEST_F (Links, RequestsThatMayRunOnceAreServedAtNodesWithoutLinks)
{
  start (4, "non_idempotent");
  world.rigs[0]->cut_from_replicas = true;
  EXPECT_GE (served ({ world.rigs[0].get () }, 10), 9U);
}

/* Connections that are reset as the links go say nothing against what they carried. */
TEST_F (Links, RequestsThatFailedAtACutNodeAreServedElsewhere)
{
  start (4);
  for (guint64 id = 1; id <= 3; id++)
    {
      world.rigs[0]->cut_from_replicas = true;
      send_desk_request (*world.rigs[0], id, "a" + std::to_string (id));
      for (int i = 0; i < 2 && !world.rigs[0]->exchanges.empty (); i++)
        world.rigs[0]->http_done (Exchange (world.rigs[0]->exchanges[0]), GSPAN_HTTP_LOST, 0, {},
                                  "");
      send_desk_request (*world.rigs[2], 10 + id, "b" + std::to_string (id));
      play (200 * GSPAN_MS);
      ASSERT_NE (response_to (*world.rigs[2], 10 + id), nullptr);
      EXPECT_EQ (response_to (*world.rigs[2], 10 + id)->status, 200);
      world.rigs[0]->cut_from_replicas = false;
      play (3 * GSPAN_SECOND);
    }
  EXPECT_FALSE (world.rigs[2]->logged ("request-evidence"));
}

TEST_F (Links, ItemsAreCompletedWhoseOwnerHasNoLinks)
{
  start (3);
  world.rigs[0]->cut_from_replicas = true;
  submit_job (*world.rigs[0], 1, "job-1", 8);
  play (6 * GSPAN_SECOND);
  read_results (*world.rigs[2], 2, "job-1", 0);
  play (GSPAN_SECOND);
  ASSERT_NE (response_to (*world.rigs[2], 2), nullptr);
  EXPECT_EQ (result_ids (*response_to (*world.rigs[2], 2)).size (), 8U);
}
