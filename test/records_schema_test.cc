#include "test/bench.h"

extern "C"
{
#include "records/convert.h"
#include "records/merge.h"
}

static json_t *
parse (const std::string &text)
{
  return json_loads (text.c_str (), 0, nullptr);
}

static std::string
dump (const json_t *value)
{
  char *text = json_dumps (value, JSON_COMPACT | JSON_SORT_KEYS | JSON_ENCODE_ANY);
  std::string copy = text != nullptr ? text : "none";

  free (text);
  return copy;
}

/* VALUE in the schema version TO, or the findings as "KEY: TEXT" lines. */
static std::string
convert (GspanRecordKind kind, const std::string &value, int to)
{
  GspanFindings findings{};
  json_t *from = parse (value);
  std::string text;

  gspan_findings_init (&findings);
  json_t *out = gspan_record_convert (kind, from, to, "", &findings);
  text = out != nullptr ? dump (out) : "";
  for (guint i = 0; i < gspan_findings_count (&findings); i++)
    text += std::string (gspan_findings_get (&findings, i)->key) + "\n";
  json_decref (out);
  json_decref (from);
  gspan_findings_finish (&findings);
  return text;
}

static std::string
merge (const char *base, const char *stored, const char *edit, GspanRecordKind kind)
{
  GspanFindings findings{};
  json_t *values[] = { base != nullptr ? parse (base) : nullptr,
                       stored != nullptr ? parse (stored) : nullptr, parse (edit) };
  GspanRecordEdit request = { values[0], values[1], values[2], "jana", "token" };
  std::string text;

  gspan_findings_init (&findings);
  json_t *out = gspan_record_merge (kind, &request, "f", &findings);
  text = out != nullptr ? dump (out) : "";
  for (guint i = 0; i < gspan_findings_count (&findings); i++)
    text += std::string (gspan_findings_get (&findings, i)->key) + ": "
            + gspan_findings_get (&findings, i)->text + "\n";
  json_decref (out);
  for (json_t *value : values)
    json_decref (value);
  gspan_findings_finish (&findings);
  return text;
}

struct Pair
{
  GspanRecordKind kind;
  const char *older;
  const char *newer;
};

/* The same record in both versions, some with what version 1 can't express by itself. */
static const Pair pairs[] = {
  { GSPAN_RECORD_POOL,
    R"({"firm":"p","max_unavailable":3,"schema":1,"target":"service:s,model:m"})",
    R"({"firm":"p","max_out":3,"model":"m","schema":2,"service":"s"})" },
  { GSPAN_RECORD_POOL,
    R"({"newer_schema":{"model":"a","service":"s,model:m"},"schema":1,"target":"service:s,model:m,model:a"})",
    R"({"model":"a","schema":2,"service":"s,model:m"})" },
  { GSPAN_RECORD_ATTACHMENT,
    R"({"max_staleness":2,"schema":1,"unknown":[1],"weighting":"idle_weight:70,staleness_weight:30"})",
    R"({"idle_weight":70,"schema":2,"staleness_bound":2,"staleness_weight":30,"unknown":[1]})" },
  { GSPAN_RECORD_ATTACHMENT, R"({"schema":1,"weighting":"staleness_weight:30"})",
    R"({"schema":2,"staleness_weight":30})" },
  { GSPAN_RECORD_ROUTE,
    R"({"calls":"completions:true,idempotent:false","schema":1,"timeout_ms":250})",
    R"({"completions":true,"idempotent":false,"schema":2,"timeout_us":250000})" },
  { GSPAN_RECORD_ROUTE, R"({"newer_schema":{"timeout_us":1500},"schema":1,"timeout_ms":1})",
    R"({"schema":2,"timeout_us":1500})" },
};

TEST (RecordsSchema, BothVersionsSayTheSame)
{
  for (const Pair &pair : pairs)
    {
      EXPECT_EQ (convert (pair.kind, pair.newer, 1), pair.older);
      EXPECT_EQ (convert (pair.kind, pair.older, 2), pair.newer);
    }
}

TEST (RecordsSchema, ChangedOlderFieldWinsOverTheExactOne)
{
  EXPECT_EQ (convert (GSPAN_RECORD_ROUTE,
                      R"({"schema":1,"timeout_ms":2,"newer_schema":{"timeout_us":1500}})", 2),
             R"({"schema":2,"timeout_us":2000})");
}

TEST (RecordsSchema, FieldsOfTheOtherVersionAreFindings)
{
  EXPECT_EQ (convert (GSPAN_RECORD_ROUTE, R"({"schema":1,"timeout_us":5})", 2), "timeout_us\n");
  EXPECT_EQ (convert (GSPAN_RECORD_ROUTE, R"({"schema":2,"timeout_ms":5})", 1), "timeout_ms\n");
  EXPECT_EQ (convert (GSPAN_RECORD_ATTACHMENT,
                      R"({"schema":1,"weighting":"staleness_weight:1,idle_weight:2"})", 2),
             "weighting\n");
  EXPECT_EQ (convert (GSPAN_RECORD_ROUTE, R"({"schema":1,"timeout_ms":9223372036854775807})", 2),
             "timeout_ms\n");
}

TEST (RecordsSchema, ServedInEitherVersion)
{
  for (const char *text : { R"({"schema":1,"firm":"p","calls":"idempotent:true","timeout_ms":9,)"
                            R"("service":"s"})",
                            R"({"schema":2,"firm":"p","idempotent":true,"timeout_us":9000,)"
                            R"("service":"s"})" })
    {
      Bench bench;

      bench.put (GSPAN_RECORD_ROUTE, "r", 1, text);
      const GspanRecord *record
          = gspan_records_find (&bench.board.records, GSPAN_RECORD_ROUTE, "r");
      ASSERT_NE (record, nullptr);
      EXPECT_EQ (record->u.route.timeout_us, 9000U);
      EXPECT_TRUE (record->u.route.idempotent);
    }
}

TEST (RecordsSchema, FindingsNameTheFieldsOfTheWritersVersion)
{
  GspanFindings findings{};
  GspanRecord record{};
  json_t *value = parse (R"({"schema":1,"firm":"p","target":"service:s","max_unavailable":0})");

  gspan_findings_init (&findings);
  EXPECT_FALSE (gspan_record_init (&record, GSPAN_RECORD_POOL, "p", 1, value, "f", &findings));
  char *text = gspan_findings_format (&findings);
  EXPECT_STREQ (text,
                "f:0:0: target: as model: missing, required\n"
                "f:0:0: max_unavailable: as max_out: 0 is out of range, allowed is 1 to 10000\n");
  g_free (text);
  gspan_findings_finish (&findings);
  json_decref (value);
}

RC_GTEST_PROP (RecordsSchema, NewerRecordsSurviveTheOlderVersion, ())
{
  const auto number = rc::gen::inRange<int64_t> (0, 1000000000);
  const auto text = rc::gen::element<std::string> ("s", "a,b", "x:y", ",model:", "service:", "");
  json_t *value = json_object ();
  const auto kind = *rc::gen::element (GSPAN_RECORD_POOL, GSPAN_RECORD_ATTACHMENT,
                                       GSPAN_RECORD_ROUTE, GSPAN_RECORD_UPSTREAM);

  json_object_set_new (value, "schema", json_integer (2));
  for (const char *key : { "max_out", "staleness_bound", "timeout_us", "idle_weight",
                           "staleness_weight", "unknown_number" })
    if (*rc::gen::arbitrary<bool> ())
      json_object_set_new (value, key, json_integer (*number));
  for (const char *key : { "service", "model", "unknown_text" })
    if (*rc::gen::arbitrary<bool> ())
      json_object_set_new (value, key, json_string ((*text).c_str ()));
  for (const char *key : { "completions", "idempotent", "unknown_flag" })
    if (*rc::gen::arbitrary<bool> ())
      json_object_set_new (value, key, json_boolean (*rc::gen::arbitrary<bool> ()));

  const std::string newer = dump (value);
  const std::string older = convert (kind, newer, 1);

  json_decref (value);
  RC_ASSERT (convert (kind, older, 2) == newer);
  RC_ASSERT (convert (kind, convert (kind, older, 2), 1) == older);
}

RC_GTEST_PROP (RecordsSchema, OlderRecordsSurviveTheNewerVersion, ())
{
  const auto ms = *rc::gen::inRange<int64_t> (0, 1000000000);
  const auto idle = *rc::gen::inRange (0, 101);
  const auto known = *rc::gen::element<std::string> ("idle_weight:", "staleness_weight:");
  const std::string route = R"({"calls":"idempotent:true","schema":1,"timeout_ms":)"
                            + std::to_string (ms) + R"(,"x":{"y":[null]}})";
  const std::string attachment = R"({"max_staleness":)" + std::to_string (idle)
                                 + R"(,"schema":1,"weighting":")" + known + std::to_string (idle)
                                 + R"("})";

  RC_ASSERT (convert (GSPAN_RECORD_ROUTE, convert (GSPAN_RECORD_ROUTE, route, 2), 1) == route);
  RC_ASSERT (convert (GSPAN_RECORD_ATTACHMENT, convert (GSPAN_RECORD_ATTACHMENT, attachment, 2), 1)
             == attachment);
}

/* Marta works under version 2, Jana under version 1. */
static const char stored[]
    = R"({"schema":2,"firm":"p","service":"s","timeout_us":1500,)"
      R"("idempotent":true,"future":{"a":1},"edited_by":{"service":"marta"}})";

TEST (RecordsMerge, OlderWriteDropsNothingOfTheNewerOne)
{
  /* The older tool shows timeout_ms 1, and drops "future" and "newer_schema". */
  EXPECT_EQ (merge (stored, stored,
                    R"({"schema":1,"firm":"p","service":"t","timeout_ms":1,)"
                    R"("calls":"idempotent:true"})",
                    GSPAN_RECORD_ROUTE),
             R"({"edited_by":{"service":"jana"},"firm":"p","future":{"a":1},"idempotent":true,)"
             R"("schema":2,"service":"t","timeout_us":1500,"writer":"token"})");
}

TEST (RecordsMerge, EditsOfDifferentFieldsBothStand)
{
  const char *base = R"({"schema":1,"calls":"completions:false,idempotent:true","timeout_ms":5})";
  const char *theirs = R"({"schema":2,"completions":true,"idempotent":true,"timeout_us":5000,)"
                       R"("edited_by":{"completions":"marta"}})";

  /* Both parts of one split field count by themselves. */
  EXPECT_EQ (merge (base, theirs,
                    R"({"schema":1,"calls":"completions:false,idempotent:false","timeout_ms":5})",
                    GSPAN_RECORD_ROUTE),
             R"({"completions":true,"edited_by":{"completions":"marta","idempotent":"jana"},)"
             R"("idempotent":false,"schema":2,"timeout_us":5000,"writer":"token"})");
}

TEST (RecordsMerge, ConflictTellsWhoChangedWhat)
{
  const char *base = R"({"schema":2,"service":"s","timeout_us":5000})";
  const char *theirs = R"({"schema":2,"service":"t","timeout_us":7000,)"
                       R"("edited_by":{"timeout_us":"marta"}})";

  EXPECT_EQ (
      merge (base, theirs, R"({"schema":1,"service":"u","timeout_ms":6})", GSPAN_RECORD_ROUTE),
      "service: another writer changed service from \"s\" to \"t\" meanwhile; this edit "
      "wants \"u\"\n"
      "timeout_ms: marta changed timeout_us from 5000 to 7000 meanwhile; this edit wants "
      "6000\n");
  EXPECT_EQ (merge (base, nullptr, base, GSPAN_RECORD_ROUTE),
             "record: somebody else deleted it meanwhile\n");
}

TEST (RecordsMerge, RemovesKnownFieldsLeftOutAndUnknownOnesSetToNull)
{
  EXPECT_EQ (
      merge (stored, stored, R"({"schema":2,"firm":"p","service":"s"})", GSPAN_RECORD_ROUTE),
      R"({"edited_by":{"idempotent":"jana","service":"marta","timeout_us":"jana"},"firm":"p",)"
      R"("future":{"a":1},"schema":2,"service":"s","writer":"token"})");
  EXPECT_EQ (
      merge (nullptr, nullptr, R"({"schema":1,"target":"service:s,model:m"})", GSPAN_RECORD_POOL),
      R"({"edited_by":{"model":"jana","service":"jana"},"schema":1,)"
      R"("target":"service:s,model:m","writer":"token"})");
}

/* Two operators edit one field each from the same base; the later one merges. No edit is lost. */
RC_GTEST_PROP (RecordsMerge, RacingEditsAreKeptOrTold, ())
{
  const auto schema = *rc::gen::container<std::vector<int>> (2, rc::gen::inRange (1, 3));
  const auto timeout = *rc::gen::container<std::vector<int>> (3, rc::gen::inRange (1, 4));
  const auto flag = *rc::gen::container<std::vector<bool>> (3, rc::gen::arbitrary<bool> ());
  std::vector<std::string> value;

  for (int i = 0; i < 3; i++)
    value.push_back (std::string (R"({"idempotent":)") + (flag[i] ? "true" : "false")
                     + R"(,"schema":2,"timeout_us":)" + std::to_string (timeout[i] * 1000) + "}");
  const std::string first = convert (GSPAN_RECORD_ROUTE, value[1], schema[0]);
  const std::string second = convert (GSPAN_RECORD_ROUTE, value[2], schema[1]);
  const std::string out
      = merge (value[0].c_str (), first.c_str (), second.c_str (), GSPAN_RECORD_ROUTE);
  const bool clash
      = timeout[1] != timeout[0] && timeout[2] != timeout[0] && timeout[1] != timeout[2];

  if (clash)
    {
      RC_ASSERT (out.find ("meanwhile") != std::string::npos);
      return;
    }
  const int expect_timeout = timeout[2] != timeout[0] ? timeout[2] : timeout[1];
  const bool expect_flag = flag[2] != flag[0] ? flag[2] : flag[1];
  const std::string newest = convert (GSPAN_RECORD_ROUTE, out, 2);

  RC_ASSERT (newest.find (R"("timeout_us":)" + std::to_string (expect_timeout * 1000))
             != std::string::npos);
  RC_ASSERT (newest.find (std::string (R"("idempotent":)") + (expect_flag ? "true" : "false"))
             != std::string::npos);
}
