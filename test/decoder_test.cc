#include "test/bench.h"

#include <unistd.h>
#include <cstring>
#include <fstream>

extern "C"
{
#include "common/line.h"
#include "desk/parse.h"
#include "platform/json_scan.h"
#include "platform/object_list.h"
#include "records/file.h"
#include "rollout/cursor.h"
#include "rollout/sample.h"
#include "rpc/codec.h"
#include "settings/node.h"
}

/* Every decoder: what it takes reads back the same, what it refuses has its place named. */

static GspanStr
view (const std::string &text)
{
  return { text.data (), text.size () };
}

/* GOOD with a few bytes changed, put in, taken out, or its end cut off. */
static std::string
damage (std::string text)
{
  int count = *rc::gen::inRange (0, 4);

  for (int i = 0; i < count; i++)
    {
      size_t at = *rc::gen::inRange<size_t> (0, text.size () + 1);
      char byte = *rc::gen::element ('"', '{', '}', '\\', ':', ',', '=', '[', '\n', '\0', '9', '-',
                                     '.', 'e', '\x7f', '\xff');

      switch (*rc::gen::inRange (0, 4))
        {
        case 0:
          text.insert (at, 1, byte);
          break;
        case 1:
          text.erase (at, 3);
          break;
        case 2:
          text.resize (at);
          break;
        default:
          if (at < text.size ())
            text[at] = byte;
        }
    }
  return text;
}

RC_GTEST_PROP (Decoder, LogLinesReadBackAsTheyWere, (const std::vector<std::string> &values))
{
  GspanLine line;

  gspan_line_init (&line, "test");
  for (const auto &value : values)
    gspan_line_str (&line, "k", view (value));
  char *text = gspan_line_steal (&line);
  GPtrArray *pairs = gspan_line_parse (gspan_str_from (text));
  g_free (text);
  RC_ASSERT (pairs != nullptr);
  RC_ASSERT (pairs->len == values.size () + 1);
  for (size_t i = 0; i < values.size (); i++)
    {
      auto *pair = static_cast<GspanPair *> (g_ptr_array_index (pairs, i + 1));

      RC_ASSERT (std::string (pair->value->str, pair->value->len) == values[i]);
    }
  g_ptr_array_unref (pairs);
}

RC_GTEST_PROP (Decoder, DamagedLogLinesAreReadOrRefused, ())
{
  std::string text = damage ("event=a b=\"c\\x01 \\\"d\\\\\" e= f=g");
  GPtrArray *pairs = gspan_line_parse (view (text));

  if (pairs != nullptr)
    g_ptr_array_unref (pairs);
}

RC_GTEST_PROP (Decoder, CursorsAreTakenExactlyOrRefusedWithAReason, ())
{
  std::string text = damage ("t:3:40:7,12,39");
  GspanError error{};
  GspanCursor cursor{};

  gspan_cursor_init (&cursor);
  bool ok = gspan_cursor_parse (&cursor, "t", view (text), &error);
  RC_ASSERT (ok == (error.code == GSPAN_ERROR_NONE));
  RC_ASSERT (ok || error.message[0] != '\0');
  if (ok && !text.empty ())
    {
      char *again = gspan_cursor_format (&cursor, "t");
      RC_ASSERT (text == again);
      g_free (again);
    }
  gspan_cursor_finish (&cursor);
}

/* TEXT as a record of fragments; CUTS say how long each is. */
static void
append_fragments (GString *wire, const std::string &text, const std::vector<guint8> &cuts)
{
  size_t at = 0;

  for (guint8 cut : cuts)
    {
      size_t len = MIN (size_t (cut), text.size () - at);
      guint32 mark = g_htonl (guint32 (len));

      g_string_append_len (wire, reinterpret_cast<char *> (&mark), sizeof mark);
      g_string_append_len (wire, text.data () + at, gssize (len));
      at += len;
    }
  guint32 mark = g_htonl (guint32 (text.size () - at) | 1U << 31);
  g_string_append_len (wire, reinterpret_cast<char *> (&mark), sizeof mark);
  g_string_append_len (wire, text.data () + at, gssize (text.size () - at));
}

RC_GTEST_PROP (Decoder, FragmentsMakeTheRecordThatWasSent,
               (const std::string &text, const std::vector<guint8> &cuts))
{
  GString *wire = g_string_new (nullptr);
  GString *in = g_string_new (nullptr);
  GString *record = g_string_new (nullptr);
  GspanError error{};

  append_fragments (wire, text, cuts);
  for (size_t i = 0; i < wire->len; i++)
    {
      RC_ASSERT (!gspan_rpc_take_record (in, record, &error));
      RC_ASSERT (error.code == GSPAN_ERROR_NONE);
      g_string_append_c (in, wire->str[i]);
    }
  RC_ASSERT (gspan_rpc_take_record (in, record, &error));
  RC_ASSERT (std::string (record->str, record->len) == text);
  RC_ASSERT (in->len == 0U);
  g_string_free (wire, TRUE);
  g_string_free (in, TRUE);
  g_string_free (record, TRUE);
}

RC_GTEST_PROP (Decoder, HostileLengthsAreRefusedBeforeTheirBytesCome, ())
{
  guint32 len = *rc::gen::inRange (guint32 (GSPAN_RPC_RECORD_MAX) + 1, 1U << 31);
  guint32 mark = g_htonl (len | (*rc::gen::arbitrary<bool> () ? 1U << 31 : 0));
  GString *in = g_string_new_len (reinterpret_cast<char *> (&mark), sizeof mark);
  GString *record = g_string_new (nullptr);
  GspanError error{};

  RC_ASSERT (!gspan_rpc_take_record (in, record, &error));
  RC_ASSERT (error.code == GSPAN_ERROR_INPUT);
  g_string_free (in, TRUE);
  g_string_free (record, TRUE);
}

static void
decode_pull (GspanStr payload)
{
  gspan_pull_args args{};
  gspan_pull_res res{};
  GspanError error{};

  if (!gspan_xdr_decode (reinterpret_cast<xdrproc_t> (xdr_gspan_pull_args), &args, payload, &error))
    RC_ASSERT (std::string (error.message).find ("byte") != std::string::npos);
  xdr_free (reinterpret_cast<xdrproc_t> (xdr_gspan_pull_args), &args);
  gspan_xdr_decode (reinterpret_cast<xdrproc_t> (xdr_gspan_pull_res), &res, payload, nullptr);
  xdr_free (reinterpret_cast<xdrproc_t> (xdr_gspan_pull_res), &res);
}

RC_GTEST_PROP (Decoder, DamagedRpcMessagesAreReadOrRefused, ())
{
  char attachment[] = "t";
  char cursor[] = "t:1:2:";
  gspan_pull_args args{};
  GString *wire = g_string_new (nullptr);
  GspanRpcMessage message{};
  GspanError error{};

  args.attachment = attachment;
  args.cursor.cursor_val = cursor;
  args.cursor.cursor_len = sizeof cursor - 1;
  GBytes *payload = gspan_xdr_encode (reinterpret_cast<xdrproc_t> (xdr_gspan_pull_args), &args);
  if (*rc::gen::arbitrary<bool> ())
    gspan_rpc_append_call (wire, 1, GSPAN_PULL, gspan_str_from_bytes (payload));
  else
    gspan_rpc_append_reply (wire, 1, gspan_str_from_bytes (payload));
  std::string text = damage (std::string (wire->str + 4, wire->len - 4));
  if (gspan_rpc_parse (view (text), &message, &error))
    decode_pull (message.payload);
  else
    RC_ASSERT (error.code == GSPAN_ERROR_INPUT && error.message[0] != '\0');
  g_bytes_unref (payload);
  g_string_free (wire, TRUE);
}

RC_GTEST_PROP (Decoder, DamagedRequestsAreServedOrRefusedByField, ())
{
  Bench bench;
  const auto &[path, body] = *rc::gen::element<std::pair<std::string, std::string>> (
      std::make_pair ("/v1/completions", R"({"model":"m","prompt":"x","stream":true})"),
      std::make_pair ("/v1/pull", R"({"attachment":"t","weight":1,"cursor":"t:1:2:"})"),
      std::make_pair ("/call/orders/x?y=z", "{}"));

  bench.with_desk ();
  bench.board.batch_pulls = g_new0 (GspanBatchPulls, 1);
  gspan_batch_pulls_init (bench.board.batch_pulls);
  bench.put (GSPAN_RECORD_ROUTE, "m", 1,
             R"({"schema":2,"firm":"p","service":"s","completions":true})");
  bench.put (GSPAN_RECORD_ROUTE, "orders", 2, R"({"schema":2,"firm":"p","service":"s"})");
  bench.board.records.complete = 2;
  bench.add_upstream ("s1", "s");
  std::string where = *rc::gen::arbitrary<bool> () ? path : damage (path);
  bench.request (1, where.c_str (), damage (body));
  for (const auto *action : bench.actions (GSPAN_ACTION_REPLY))
    {
      GspanStr answer = gspan_str_from_bytes (action->u.reply.body);
      std::string text (answer.data, answer.len);

      RC_ASSERT (action->u.reply.status >= 400);
      RC_ASSERT (text.find ("\"field\":") != std::string::npos);
      RC_ASSERT (text.find ("\"message\"") != std::string::npos);
    }
}

RC_GTEST_PROP (Decoder, DamagedEngineAnswersAreReadOrRefusedWithAReason, ())
{
  std::string good = R"({"id":"1","text":"abc","weight_versions":[3,4],"finish_reason":"stop"})";
  std::string text = damage (good);
  GspanGroup *group = gspan_group_new (1, 1);
  GspanError error{};

  if (!gspan_sample_take_answer (&group->samples[0], view (text), &error))
    RC_ASSERT (error.message[0] != '\0');
  error = {};
  if (!gspan_sample_take_score (&group->samples[0], view (damage (R"({"reward":0.5})")), &error))
    RC_ASSERT (error.message[0] != '\0');
  gspan_group_free (group);
}

RC_GTEST_PROP (Decoder, DamagedRecordsAreTakenOrRefusedByField, ())
{
  std::string text = damage (R"({"schema":2,"firm":"p","service":"s","model":"m","max_out":2})");
  json_t *value = json_loadb (text.data (), text.size (), JSON_DECODE_ANY, nullptr);
  GspanFindings findings{};
  GspanRecord record{};

  gspan_findings_init (&findings);
  if (value != nullptr)
    {
      if (gspan_record_init (&record, GSPAN_RECORD_POOL, "p", 1, value, "F", &findings))
        {
          RC_ASSERT (gspan_findings_count (&findings) == 0U);
          RC_ASSERT (record.firm[0] != '\0' && record.u.pool.service[0] != '\0');
          gspan_record_finish (&record);
        }
      else
        RC_ASSERT (gspan_findings_get (&findings, 0)->key[0] != '\0');
    }
  json_decref (value);
  gspan_findings_finish (&findings);
}

/* Path of a file that holds TEXT. */
static std::string
write_file (const std::string &text)
{
  std::string path = testing::TempDir () + "decoder-" + std::to_string (getpid ()) + ".toml";

  std::ofstream (path, std::ios::binary) << text;
  return path;
}

/* Each finding of a file names the file and a line, but for what is missing altogether. */
static void
check_places (const GspanFindings *findings)
{
  for (guint i = 0; i < gspan_findings_count (findings); i++)
    {
      const GspanFinding *finding = gspan_findings_get (findings, i);

      RC_ASSERT (finding->line > 0U || strstr (finding->text, "missing") != nullptr);
      RC_ASSERT (finding->key[0] != '\0' && finding->text[0] != '\0');
    }
}

RC_GTEST_PROP (Decoder, DamagedRecordFilesAreTakenOrRefusedByPlace, ())
{
  std::string path = write_file (
      damage ("[pool.p]\nschema = 2\nfirm = \"p\"\nservice = \"s\"\nmodel = \"m\"\nmax_out = 2\n"));
  GspanFindings findings{};

  gspan_findings_init (&findings);
  GPtrArray *list = gspan_records_read_file (path.c_str (), &findings);
  check_places (&findings);
  g_ptr_array_unref (list);
  gspan_findings_finish (&findings);
}

RC_GTEST_PROP (Decoder, DamagedSettingsAreTakenOrRefusedByPlace, ())
{
  std::string path = write_file (
      damage ("[node]\nname=\"a\"\nfirm=\"b\"\nzone=\"c\"\n[listen]\nhttp=\"127.0.0.1:1\"\n"
              "rpc=\"127.0.0.1:2\"\n[platform]\naddress=\"127.0.0.1:3\"\n[limits]\ndrain_ms=5\n"));
  GspanNodeSettings settings{};
  GspanFindings findings{};

  gspan_findings_init (&findings);
  gspan_options_load (gspan_node_options, gspan_node_option_count, path.c_str (), &settings,
                      &findings);
  check_places (&findings);
  if (gspan_findings_count (&findings) == 0)
    RC_ASSERT (settings.name != nullptr && settings.platform != nullptr);
  gspan_options_finish (gspan_node_options, gspan_node_option_count, &settings);
  gspan_findings_finish (&findings);
}

TEST (Decoder, BytesThatAreNoUtf8AreRefusedLikeAnyOthers)
{
  Bench bench;

  bench.with_desk ();
  bench.board.records.complete = 1;
  for (const char *path : { "/call/\xff/x", "/call/\xc3", "/\xff" })
    {
      bench.request (1, path, "{}");
      auto replies = bench.actions (GSPAN_ACTION_REPLY);
      ASSERT_EQ (replies.size (), 1U) << path;
      EXPECT_GE (replies[0]->u.reply.status, 400);
    }
}

TEST (Decoder, ACursorIsNotCutAtANul)
{
  const std::string text ("t:3:40:\0"
                          "7,12,39",
                          15);
  GspanCursor cursor{};

  gspan_cursor_init (&cursor);
  EXPECT_FALSE (gspan_cursor_parse (&cursor, "t", view (text), nullptr));
  gspan_cursor_finish (&cursor);
}

/* JSON text of at most DEPTH levels, with blanks, escapes, numbers and words. */
static std::string
any_json (int depth)
{
  static const char *const scalars[] = { "null",
                                         "true",
                                         "false",
                                         "0",
                                         "-1.5e-7",
                                         "9007199254740993",
                                         "\"\"",
                                         "\"a\\\"]\"",
                                         "\"\\u007b}\\\\\"",
                                         "\"\xc3\xa9[\"",
                                         "\"{\"",
                                         "1e300" };
  static const char *const blanks[] = { "", "", "", " ", "\n\t", "\r " };
  auto blank = [] { return std::string (blanks[*rc::gen::inRange (0, 6)]); };
  int kind = depth > 0 ? *rc::gen::inRange (0, 4) : 0;

  if (kind < 2)
    return scalars[*rc::gen::inRange (0, 12)];
  bool is_object = kind == 3;
  std::string text = is_object ? "{" : "[";
  int count = *rc::gen::inRange (0, 5);
  for (int i = 0; i < count; i++)
    {
      text += (i > 0 ? "," : "") + blank ();
      if (is_object)
        text += "\"k\\u007" + std::to_string (i) + "]{\"" + blank () + ":" + blank ();
      text += any_json (depth - 1) + blank ();
    }
  return text + (count == 0 ? blank () : "") + (is_object ? "}" : "]");
}

static json_t *
load (GspanStr text)
{
  return json_loadb (text.data, text.len, JSON_DECODE_ANY, nullptr);
}

/* Decodes TEXT member by member, as deep as it goes. */
static json_t *
load_piecewise (GspanStr text)
{
  GspanJsonScan scan;

  gspan_json_scan_init (&scan, text);
  if (scan.failed)
    return load (text);
  json_t *whole = text.data[0] == '{' ? json_object () : json_array ();
  while (gspan_json_scan_next (&scan))
    {
      json_t *member = load_piecewise (scan.value);
      RC_ASSERT (member != nullptr);
      if (json_is_array (whole))
        json_array_append_new (whole, member);
      else
        {
          json_t *key = load (scan.key);
          RC_ASSERT (gspan_json_scan_key_is (&scan, json_string_value (key)));
          json_object_set_new (whole, json_string_value (key), member);
          json_decref (key);
        }
    }
  RC_ASSERT (!scan.failed);
  return whole;
}

RC_GTEST_PROP (JsonScan, DocumentInPiecesIsTheWholeDocument, ())
{
  std::string text = "[" + any_json (4) + "," + any_json (5) + "," + any_json (5) + "]";
  json_t *whole = load (view (text));
  json_t *pieces = load_piecewise (view (text));

  RC_ASSERT (whole != nullptr);
  RC_ASSERT (json_equal (whole, pieces) == 1);
  json_decref (whole);
  json_decref (pieces);
}

/* What a decoder takes, the scanner takes; where it finds an end, all that it found is in the text.
 */
RC_GTEST_PROP (JsonScan, DamagedDocumentIsScannedWithinItsBytes, ())
{
  std::string text = damage ("[" + any_json (4) + "," + any_json (4) + "]");
  json_t *whole = json_loadb (text.data (), text.size (), 0, nullptr);
  GspanJsonScan scan;
  size_t members = 0;

  gspan_json_scan_init (&scan, view (text));
  while (gspan_json_scan_next (&scan))
    {
      members++;
      RC_ASSERT (scan.value.data >= text.data ());
      RC_ASSERT (scan.value.data + scan.value.len <= text.data () + text.size ());
      RC_ASSERT (scan.value.len > 0U);
    }
  RC_ASSERT (!gspan_json_scan_next (&scan));
  if (json_is_array (whole))
    RC_ASSERT (!scan.failed && members == json_array_size (whole));
  json_decref (whole);
}

RC_GTEST_PROP (JsonScan, AnyBytesAreScannedToAnEnd, (const std::string &text))
{
  GspanJsonScan scan;

  gspan_json_scan_init (&scan, view (text));
  while (gspan_json_scan_next (&scan))
    RC_ASSERT (scan.value.data + scan.value.len <= text.data () + text.size ());
}

static std::string
any_object (int index)
{
  return "{\"metadata\":{\"name\":\"n" + std::to_string (index)
         + "\",\"revision\":" + std::to_string (index + 1) + "},\"spec\":" + any_json (3)
         + ",\"status\":" + any_json (2) + "}";
}

/* An odd object among sound ones leaves these as they are. */
RC_GTEST_PROP (ObjectList, SoundObjectsAreReadAsIfTheOddOnesWereNotThere, ())
{
  static const char *const odd[]
      = { "1e999",  "123456789012345678901234567890", "\"\\u0000\"", "\"\xff\"", "nil", "[}",
          "\"\\q\"" };
  std::string text = "{\"items\":[";
  std::vector<std::string> sound;
  int count = *rc::gen::inRange (1, 8);

  for (int i = 0; i < count; i++)
    {
      bool is_odd = *rc::gen::arbitrary<bool> ();
      std::string object = any_object (i);

      if (is_odd)
        object.insert (object.size () - 1, std::string (",\"x\":") + odd[*rc::gen::inRange (0, 7)]);
      sound.push_back (is_odd ? "" : object);
      text += (i > 0 ? "," : "") + object;
    }
  text += "],\"hasMore\":true,\"currentRev\":99}";
  GspanStoreReply reply{};
  GspanError error{};
  gspan_store_reply_init (&reply);
  RC_ASSERT (gspan_object_list_read (view (text), &reply, &error));
  RC_ASSERT (reply.objects->len == guint (count));
  RC_ASSERT (reply.has_more && reply.revision == 99U);
  for (int i = 0; i < count; i++)
    {
      auto *object = static_cast<GspanStoreObject *> (g_ptr_array_index (reply.objects, i));

      RC_ASSERT (object->name == "n" + std::to_string (i) && object->revision == guint64 (i + 1));
      RC_ASSERT ((object->problem != nullptr) == sound[i].empty ());
      json_t *whole = load (view (sound[i]));
      RC_ASSERT (sound[i].empty () || json_equal (object->spec, json_object_get (whole, "spec")));
      RC_ASSERT (sound[i].empty ()
                 || json_equal (object->status, json_object_get (whole, "status")));
      json_decref (whole);
    }
  gspan_store_reply_finish (&reply);
}

RC_GTEST_PROP (ObjectList, DamagedAnswersAreReadOrRefusedWithAReason, ())
{
  std::string text = damage ("{\"items\":[" + any_object (1) + "," + any_object (2)
                             + "],\"events\":[{\"object\":" + any_object (3)
                             + ",\"deleted\":true}],\"hasMore\":true,\"currentRev\":9}");
  GspanStoreReply reply{};
  GspanError error{};

  for (auto *read :
       { gspan_object_list_read, gspan_object_list_read_events, gspan_object_list_read_one })
    {
      gspan_store_reply_init (&reply);
      error = {};
      if (!read (view (text), &reply, &error))
        RC_ASSERT (reply.objects->len == 0U && error.message[0] != '\0');
      for (guint i = 0; i < reply.objects->len; i++)
        RC_ASSERT (static_cast<GspanStoreObject *> (g_ptr_array_index (reply.objects, i))->name
                   != nullptr);
      gspan_store_reply_finish (&reply);
    }
}
