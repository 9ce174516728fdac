#pragma once

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <glib.h>
#include <jansson.h>

#include <string>
#include <vector>

extern "C"
{
#include "board/board.h"
#include "common/clock.h"
#include "control/control.h"
#include "desk/desk.h"
#include "desk/keyed_calls.h"
#include "desk/batch_pulls.h"
#include "desk/key_partitions.h"
#include "records/table.h"
#include "rollout/rollout.h"
}

/* One board under virtual time. Feeds it events and keeps the actions of the last one. */
class Bench
{
public:
  GspanBoard board{};
  GspanOutbox out{};
  guint64 now = 1000 * GSPAN_SECOND;

  explicit Bench (const char *name = "vm-1", guint32 seed = 1)
  {
    GspanBoardConfig config{};

    config.self = { name, "prepis", "bratislava", "127.0.0.1:1" };
    config.seed = seed;
    config.lease_duration_us = 3 * GSPAN_SECOND;
    config.request_timeout_us = 10 * GSPAN_SECOND;
    gspan_board_init (&board, &config);
    gspan_outbox_init (&out);
    board.follow.listed = true;
    board.vms.has_list = true;
  }

  ~Bench ()
  {
    gspan_outbox_finish (&out);
    gspan_board_finish (&board);
  }

  Bench (const Bench &) = delete;
  Bench &operator= (const Bench &) = delete;

  void
  with_desk ()
  {
    board.desk = g_new0 (GspanDesk, 1);
    gspan_desk_init (board.desk);
  }

  /* The desk with keyed calls; ADDRESS is where peers reach it by RPC. */
  void
  with_slots (const char *address)
  {
    board.self.rpc = address;
    with_desk ();
    board.keyed_calls = g_new0 (GspanKeyedCalls, 1);
    gspan_keyed_calls_init (board.keyed_calls);
    board.key_partitions = g_new0 (GspanKeyPartitions, 1);
    gspan_key_partitions_init (board.key_partitions);
  }

  void
  handle (const GspanEvent &event)
  {
    gspan_outbox_clear (&out);
    gspan_board_handle (&board, &event, now, &out);
  }

  void
  tick (guint64 step = 20 * GSPAN_MS)
  {
    GspanEvent event{};

    now += step;
    event.kind = GSPAN_EVENT_TICK;
    handle (event);
  }

  /* Puts a record in force; a failing test where it has findings. */
  void
  put (GspanRecordKind kind, const char *name, guint64 version, const char *json)
  {
    GspanFindings findings{};
    json_t *value = json_loads (json, 0, nullptr);

    gspan_findings_init (&findings);
    gspan_records_put (&board.records, kind, name, version, value, &findings);
    EXPECT_EQ (gspan_findings_count (&findings), 0U) << json;
    gspan_findings_finish (&findings);
    json_decref (value);
  }

  GspanUpstream *
  add_upstream (const char *name, const char *service)
  {
    std::string address
        = std::string ("127.0.0.2:") + std::to_string (100 + board.upstreams.items->len);

    return gspan_upstreams_add (&board.upstreams, name, service, "bratislava", address.c_str ());
  }

  void
  request (guint64 id, const char *path, const std::string &body,
           const std::vector<std::pair<std::string, std::string>> &fields = {})
  {
    GspanEvent event{};
    GspanHeaders headers{};
    GBytes *bytes = g_bytes_new (body.data (), body.size ());

    gspan_headers_init (&headers);
    for (const auto &[name, value] : fields)
      gspan_headers_add (&headers, name.c_str (), gspan_str_from (value.c_str ()));
    event.kind = GSPAN_EVENT_REQUEST;
    event.u.request = { id, gspan_str_from ("POST"), gspan_str_from (path), &headers, bytes };
    handle (event);
    gspan_headers_finish (&headers);
    g_bytes_unref (bytes);
  }

  void
  answer (GspanRef ref, GspanHttpResult result, int status = 200, const std::string &body = "{}",
          GspanEventKind kind = GSPAN_EVENT_HTTP_DONE)
  {
    GspanEvent event{};
    GspanHeaders headers{};
    GBytes *bytes = g_bytes_new (body.data (), body.size ());

    gspan_headers_init (&headers);
    event.kind = kind;
    event.ref = ref;
    event.u.http = { result, status, &headers, bytes, 1000 };
    handle (event);
    gspan_headers_finish (&headers);
    g_bytes_unref (bytes);
  }

  void
  object_done (GspanRef ref, GspanObjectResult result, guint64 revision = 0,
               const std::string &body = "{}")
  {
    GspanEvent event{};
    GBytes *bytes = g_bytes_new (body.data (), body.size ());

    event.kind = GSPAN_EVENT_OBJECT_DONE;
    event.ref = ref;
    event.u.object = { result, revision, bytes };
    handle (event);
    g_bytes_unref (bytes);
  }

  /* Actions of KIND that the last event gave, of OWNER where one is named. */
  std::vector<GspanAction *>
  actions (GspanActionKind kind, int owner = -1) const
  {
    std::vector<GspanAction *> found;

    for (guint i = 0; i < out.actions->len; i++)
      {
        auto *action = static_cast<GspanAction *> (g_ptr_array_index (out.actions, i));

        if (action->kind == kind
            && (owner < 0 || action->ref.owner == static_cast<GspanOwner> (owner)))
          found.push_back (action);
      }
    return found;
  }

  static std::string
  header (const GspanAction *reply, const char *name)
  {
    GspanStr value = gspan_headers_get (&reply->u.reply.headers, name);

    return { value.data != nullptr ? value.data : "", value.len };
  }
};
