#include "test/bench.h"

static const char route[] = R"({"schema":2,"firm":"prepis","service":"s","idempotent":true})";

TEST (Records, VersionsNeverGoBack)
{
  Bench bench;

  bench.put (GSPAN_RECORD_ROUTE, "r", 5, route);
  bench.put (GSPAN_RECORD_ROUTE, "r", 4, R"({"schema":2,"firm":"prepis","service":"old"})");
  EXPECT_STREQ (gspan_records_find (&bench.board.records, GSPAN_RECORD_ROUTE, "r")->u.route.service,
                "s");
}

TEST (Records, DeletedRecordStaysDeleted)
{
  Bench bench;
  GspanFindings findings{};

  gspan_findings_init (&findings);
  bench.put (GSPAN_RECORD_ROUTE, "r", 5, route);
  EXPECT_TRUE (
      gspan_records_put (&bench.board.records, GSPAN_RECORD_ROUTE, "r", 6, nullptr, &findings));
  bench.put (GSPAN_RECORD_ROUTE, "r", 5, route);
  EXPECT_EQ (gspan_records_find (&bench.board.records, GSPAN_RECORD_ROUTE, "r"), nullptr);
  gspan_findings_finish (&findings);
}

TEST (Records, BadVersionLeavesTheLastGoodOneInForce)
{
  Bench bench;
  GspanFindings findings{};
  json_t *bad = json_loads (R"({"schema":9,"firm":1,"idempotent":3})", 0, nullptr);

  gspan_findings_init (&findings);
  bench.put (GSPAN_RECORD_ROUTE, "r", 5, route);
  EXPECT_FALSE (
      gspan_records_put (&bench.board.records, GSPAN_RECORD_ROUTE, "r", 6, bad, &findings));
  EXPECT_EQ (gspan_findings_count (&findings), 4U);
  EXPECT_EQ (gspan_records_find (&bench.board.records, GSPAN_RECORD_ROUTE, "r")->version, 5U);
  gspan_findings_finish (&findings);
  json_decref (bad);
}
