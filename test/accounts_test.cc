#include "test/node_world.h"

/* Client accounts: who is let in, what replicas are told, and whose jobs a caller sees. */
class Accounts : public NodeTest
{
protected:
  guint64 next_request = 1;

  static std::string
  account (const std::string &name, const std::string &keys)
  {
    return "{\"name\":\"" + name + "\",\"apiKeys\":[" + keys + "],\"priority\":1}";
  }

  /* The configuration VERSION with ACCOUNTS; ANONYMOUS lets callers without a key in. */
  void
  configure (unsigned version, const std::string &accounts, bool anonymous = false)
  {
    std::string spec = config_spec (version);
    std::string route = "\"name\":\"desk\",";

    spec.insert (spec.size () - 1, ",\"tenants\":[" + accounts + "]");
    if (anonymous)
      spec.insert (spec.find (route) + route.size (), "\"allowAnonymous\":true,");
    world.put ("config", "main", spec.c_str ());
    world.run (GSPAN_SECOND);
  }

  Rig &
  start (unsigned nodes = 1)
  {
    start_nodes (nodes);
    configure (4, account ("a", "\"key-a1\",\"key-a2\"") + "," + account ("b", "\"key-b\""));
    return *world.rigs[0];
  }

  /* Sends a request with HEADERS; its status, or 0 where it went to a replica. */
  int
  send (Rig &rig, std::vector<std::string> headers, const std::string &method = "POST",
        const std::string &path = "/desk/x", const std::string &body = "hello")
  {
    guint64 id = next_request++;

    headers.insert (headers.end (), { "Host: a.example", "X-Deadline-Ms: 800" });
    rig.request (id, method.c_str (), path.c_str (), headers, body);
    for (unsigned i = 0; i < 150 && response_to (rig, id) == nullptr; i++)
      world.run (10 * GSPAN_MS);
    return response_to (rig, id) != nullptr ? response_to (rig, id)->status : 0;
  }

  /* As send (), with KEY; the request that reached a replica is in LAST. */
  bool
  is_passed_on (Rig &rig, const std::vector<std::string> &headers)
  {
    size_t open = rig.exchanges.size ();
    guint64 id = next_request++;
    std::vector<std::string> all = { "Host: a.example", "X-Deadline-Ms: 800" };

    all.insert (all.end (), headers.begin (), headers.end ());
    rig.request (id, "POST", "/desk/x", all, "hello");
    if (rig.exchanges.size () == open)
      return false;
    last = rig.exchanges.back ();
    rig.http_done (last, GSPAN_HTTP_COMPLETE, 200, signed_head, "good");
    return true;
  }

  int
  submit (Rig &rig, const std::string &job, const std::string &key)
  {
    return send (rig, { "X-Attempt-Id: " + job, "Authorization: Bearer " + key }, "POST",
                 "/batch/" + job, job_body (4, 0));
  }

  int
  get (Rig &rig, const std::string &path, const std::string &key, const char *method = "GET")
  {
    return send (rig, { "Authorization: Bearer " + key }, method, path, "");
  }

  Exchange last;
};

TEST_F (Accounts, KeyStaysHereAndTheAccountIsNamed)
{
  Rig &rig = start ();

  ASSERT_TRUE (is_passed_on (rig, { "Authorization: bearer  key-a2", "X-Tenant: b" }));
  EXPECT_EQ (last.header ("X-Tenant"), "a");
  EXPECT_EQ (last.header ("Authorization"), "");
  ASSERT_TRUE (is_passed_on (rig, { "authorization: Bearer key-b" }));
  EXPECT_EQ (last.header ("X-Tenant"), "b");
}

TEST_F (Accounts, RequestsWithoutAKnownKeyAreRefused)
{
  Rig &rig = start ();

  for (const std::vector<std::string> &headers : std::vector<std::vector<std::string>>{
           {},
           { "Authorization: Bearer key-c" },
           { "Authorization: Bearer " },
           { "Authorization: Bearer" },
           { "Authorization: Basic key-a1" },
           { "Authorization: Bearer key-a1 key-a1" },
           { "Authorization: Bearer key-a1", "Authorization: Bearer key-a1" },
           { "Authorization: Bearer key-a\x01" } })
    EXPECT_EQ (send (rig, headers), 401);
  EXPECT_TRUE (rig.exchanges.empty ());
  EXPECT_TRUE (rig.logged ("account-refused"));
  EXPECT_FALSE (rig.logged ("key-c"));
  EXPECT_FALSE (rig.logged ("key-a1"));
}

TEST_F (Accounts, PathWithoutARouteIsNotFoundWhateverTheKey)
{
  Rig &rig = start ();

  EXPECT_EQ (send (rig, {}, "GET", "/nowhere/x"), 404);
}

TEST_F (Accounts, AnonymousRouteLetsAllInAndNamesOnlyWhoIsKnown)
{
  Rig &rig = start ();

  configure (5, account ("a", "\"key-a1\""), true);
  ASSERT_TRUE (is_passed_on (rig, { "X-Tenant: a" }));
  EXPECT_EQ (last.header ("X-Tenant"), "");
  ASSERT_TRUE (is_passed_on (rig, { "Authorization: Bearer key-c" }));
  EXPECT_EQ (last.header ("X-Tenant"), "");
  EXPECT_EQ (last.header ("Authorization"), "");
  ASSERT_TRUE (is_passed_on (rig, { "Authorization: Bearer key-a1" }));
  EXPECT_EQ (last.header ("X-Tenant"), "a");
}

/* Configurations of before pass on what callers send of it. */
TEST_F (Accounts, WithoutAccountsNothingIsChecked)
{
  Rig &rig = start_nodes ();

  ASSERT_TRUE (is_passed_on (rig, { "Authorization: Bearer k", "X-Tenant: t" }));
  EXPECT_EQ (last.header ("Authorization"), "Bearer k");
  EXPECT_EQ (last.header ("X-Tenant"), "t");
}

/* A list that has become empty must not open the door. */
TEST_F (Accounts, EmptyListOfAccountsLetsNobodyIn)
{
  Rig &rig = start ();

  configure (5, "");
  EXPECT_EQ (send (rig, { "Authorization: Bearer key-a1" }), 401);
}

TEST_F (Accounts, KeysComeAndGoWithTheConfiguration)
{
  Rig &rig = start ();

  configure (5, account ("a", "\"key-a2\"") + "," + account ("b", "\"key-a1\""));
  ASSERT_TRUE (is_passed_on (rig, { "Authorization: Bearer key-a1" }));
  EXPECT_EQ (last.header ("X-Tenant"), "b");
  EXPECT_EQ (send (rig, { "Authorization: Bearer key-b" }), 401);
}

/* The second attempt of a request whose key has gone is not made. */
TEST_F (Accounts, RequestIsNotTriedAgainOnceItsKeyIsTakenAway)
{
  Rig &rig = start ();
  std::vector<std::string> headers = { "Host: a.example", "X-Attempt-Id: r1", "X-Deadline-Ms: 5000",
                                       "Authorization: Bearer key-a1" };

  rig.request (900, "POST", "/desk/x", headers, "hello");
  ASSERT_EQ (rig.exchanges.size (), 1U);
  Exchange first = rig.exchanges.back ();
  configure (5, account ("a", "\"key-a2\""));
  rig.http_done (first, GSPAN_HTTP_COMPLETE, 503, { "X-Not-Executed: 1" }, "");
  EXPECT_TRUE (rig.exchanges.empty ());
}

TEST_F (Accounts, InvalidAndRepeatedKeysAreLeftOut)
{
  struct GspanAccounts accounts;

  gspan_accounts_init (&accounts);
  struct GspanAccount *a = gspan_accounts_add (&accounts, "a");
  struct GspanAccount *b = gspan_accounts_add (&accounts, "b");
  EXPECT_TRUE (gspan_accounts_add_key (&accounts, a, "k"));
  EXPECT_TRUE (gspan_accounts_add_key (&accounts, a, "k"));
  EXPECT_FALSE (gspan_accounts_add_key (&accounts, b, "k"));
  EXPECT_FALSE (gspan_accounts_add_key (&accounts, b, ""));
  EXPECT_FALSE (gspan_accounts_add_key (&accounts, b, "a b"));
  EXPECT_FALSE (gspan_accounts_add_key (&accounts, b, "a\nb"));
  EXPECT_FALSE (gspan_accounts_add_key (&accounts, b, std::string (10000000, 'k').c_str ()));
  EXPECT_EQ (accounts.keys_ignored, 5U);
  gspan_accounts_finish (&accounts);
}

TEST_F (Accounts, JobIsUsedByAllKeysOfItsAccountAtAnyNode)
{
  Rig &rig = start (3);
  Rig &other = *world.rigs[1];

  EXPECT_EQ (submit (rig, "j1", "key-a1"), 202);
  EXPECT_EQ (submit (other, "j1", "key-a2"), 202);
  EXPECT_EQ (get (other, "/api/lots/j1?after=0", "key-a2"), 200);
  EXPECT_EQ (get (other, "/api/items/j1?id=i0", "key-a2"), 200);
  EXPECT_EQ (get (*world.rigs[2], "/api/lots/j1", "key-a1", "DELETE"), 200);
}

TEST_F (Accounts, JobOfAnotherAccountDoesNotExist)
{
  Rig &rig = start (3);

  EXPECT_EQ (submit (rig, "j1", "key-a1"), 202);
  for (auto &node : world.rigs)
    {
      EXPECT_EQ (submit (*node, "j1", "key-b"), 404);
      EXPECT_EQ (get (*node, "/api/lots/j1?after=0", "key-b"), 404);
      EXPECT_EQ (get (*node, "/api/items/j1?id=i0", "key-b"), 404);
      EXPECT_EQ (get (*node, "/api/lots/j1", "key-b", "DELETE"), 404);
      EXPECT_EQ (get (*node, "/api/lots/j1", "key-c", "DELETE"), 401);
    }
  EXPECT_EQ (get (rig, "/api/lots/j1?after=0", "key-a1"), 200);
}

/*
 * The parts of a job are stored before its head: where that failed, the job of the next account
 * that used the id had the first one's bodies.
 */
TEST_F (Accounts, ContentThatAnotherAccountLeftIsNeitherRunNorShown)
{
  Rig &rig = start (2);
  Rig &other = *world.rigs[1];

  for (bool bare : { false, true })
    {
      const std::string job = bare ? "j2" : "j1";
      std::vector<std::string> headers = { "X-Attempt-Id: " + job, "Authorization: Bearer key-a1" };

      world.conflicts_are_bare = bare;
      world.fault_of = [] (const Rig &, const GspanStoreCall &call) {
        return strcmp (call.kind, "jobs") == 0 && call.op == GSPAN_STORE_CREATE ? StoreFault::Busy
                                                                                : StoreFault::None;
      };
      EXPECT_EQ (send (rig, headers, "POST", "/batch/" + job, job_body (5, 0)), 503);
      world.fault_of = nullptr;
      EXPECT_EQ (submit (other, job, "key-b"), 404);
      EXPECT_EQ (get (other, "/api/items/" + job + "?id=i0", "key-b"), 404);
      EXPECT_EQ (world.objects["jobs"].count (job), 0U);
      EXPECT_EQ (send (other, headers, "POST", "/batch/" + job, job_body (5, 0)), 202);
      EXPECT_EQ (get (other, "/api/items/" + job + "?id=i0", "key-a1"), 200);
    }
}

/* A create of the head whose outcome isn't known must not let another account's job skip its parts.
 */
TEST_F (Accounts, JobOfUnknownFateIsNotTakenOverByAnotherAccount)
{
  Rig &rig = start ();
  bool fails = true;

  world.fault_of = [&] (const Rig &, const GspanStoreCall &call) {
    bool head = strcmp (call.kind, "jobs") == 0 && call.op == GSPAN_STORE_CREATE;

    return head && fails ? StoreFault::LostBefore : StoreFault::None;
  };
  EXPECT_EQ (submit (rig, "j1", "key-a1"), 502);
  fails = false;
  EXPECT_EQ (submit (rig, "j1", "key-b"), 404);
  EXPECT_EQ (world.objects["jobs"].count ("j1"), 0U);
}

/* Items bear the account of their job, whatever their trainer wrote into their headers. */
TEST_F (Accounts, ItemsRunForTheAccountOfTheirJob)
{
  Rig &rig = start ();
  std::string body = job_body (2, 0);
  std::string header = "\"X-Model\":\"m0\"";

  body.replace (body.find (header), header.size (),
                header + ",\"X-Tenant\":\"b\",\"Authorization\":\"Bearer key-b\"");
  EXPECT_EQ (
      send (rig, { "X-Attempt-Id: j1", "Authorization: Bearer key-a1" }, "POST", "/batch/j1", body),
      202);
  world.run (GSPAN_SECOND);
  ASSERT_FALSE (rig.exchanges.empty ());
  for (const auto &run : rig.exchanges)
    {
      EXPECT_EQ (run.header ("X-Tenant"), "a");
      EXPECT_EQ (run.header ("Authorization"), "");
    }
}

/* Neither the death of a job's owner nor the loss of a key changes whose the job is. */
TEST_F (Accounts, JobKeepsItsAccountWhenItsOwnerDies)
{
  Rig &rig = start (3);

  EXPECT_EQ (submit (rig, "j1", "key-a1"), 202);
  world.run (GSPAN_SECOND);
  world.rigs[0]->paused = true;
  configure (5, account ("a", "\"key-a3\"") + "," + account ("b", "\"key-b\""));
  world.run (4 * GSPAN_SECOND);
  bool runs = false;
  for (size_t i = 1; i < world.rigs.size (); i++)
    {
      EXPECT_EQ (get (*world.rigs[i], "/api/lots/j1?after=0", "key-b"), 404);
      for (const auto &run : world.rigs[i]->exchanges)
        {
          runs = true;
          EXPECT_EQ (run.header ("X-Tenant"), "a");
        }
    }
  EXPECT_TRUE (runs);
}
