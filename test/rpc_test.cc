#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <glib.h>

extern "C"
{
#include "rpc/codec.h"
}

TEST (Rpc, CallAndReplySurviveTheWire)
{
  GString *wire = g_string_new (nullptr);
  GString *record = g_string_new (nullptr);
  GspanRpcMessage message{};

  gspan_rpc_append_call (wire, 7, 1, GSPAN_STR ("abcd"));
  gspan_rpc_append_reply (wire, 7, GSPAN_STR ("efgh"));
  gspan_rpc_append_refusal (wire, 8, PROC_UNAVAIL);
  ASSERT_TRUE (gspan_rpc_take_record (wire, record, nullptr));
  ASSERT_TRUE (gspan_rpc_parse ({ record->str, record->len }, &message, nullptr));
  EXPECT_EQ (message.kind, GSPAN_RPC_MESSAGE_CALL);
  EXPECT_TRUE (gspan_str_equal (message.payload, GSPAN_STR ("abcd")));
  ASSERT_TRUE (gspan_rpc_take_record (wire, record, nullptr));
  ASSERT_TRUE (gspan_rpc_parse ({ record->str, record->len }, &message, nullptr));
  EXPECT_TRUE (message.accepted);
  EXPECT_TRUE (gspan_str_equal (message.payload, GSPAN_STR ("efgh")));
  ASSERT_TRUE (gspan_rpc_take_record (wire, record, nullptr));
  ASSERT_TRUE (gspan_rpc_parse ({ record->str, record->len }, &message, nullptr));
  EXPECT_FALSE (message.accepted);
  EXPECT_FALSE (gspan_rpc_take_record (wire, record, nullptr));
  g_string_free (wire, TRUE);
  g_string_free (record, TRUE);
}

RC_GTEST_PROP (Rpc, AnyBytesAreRefusedOrParsed, (const std::vector<char> &bytes))
{
  GspanRpcMessage message{};
  struct gspan_pull_args args = {};
  GspanStr data = { bytes.data (), bytes.size () };
  GspanError error{};

  if (!gspan_rpc_parse (data, &message, &error))
    RC_ASSERT (error.code == GSPAN_ERROR_INPUT);
  if (!gspan_xdr_decode (reinterpret_cast<xdrproc_t> (xdr_gspan_pull_args), &args, data, &error))
    RC_ASSERT (error.code == GSPAN_ERROR_INPUT);
  xdr_free (reinterpret_cast<xdrproc_t> (xdr_gspan_pull_args), &args);
}
