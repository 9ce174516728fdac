#include "store/store.h"

void
gspan_store_call_finish (struct GspanStoreCall *call)
{
  g_clear_pointer (&call->kind, g_free);
  g_clear_pointer (&call->name, g_free);
  g_clear_pointer (&call->value, json_decref);
}

static void
object_free (gpointer data)
{
  struct GspanStoreObject *object = data;

  g_free (object->name);
  json_decref (object->spec);
  json_decref (object->status);
  g_free (object->problem);
  g_free (object);
}

void
gspan_store_reply_init (struct GspanStoreReply *reply)
{
  *reply = (struct GspanStoreReply){ 0 };
  reply->objects = g_ptr_array_new_with_free_func (object_free);
}

void
gspan_store_reply_finish (struct GspanStoreReply *reply)
{
  g_clear_pointer (&reply->objects, g_ptr_array_unref);
}

struct GspanStoreObject *
gspan_store_reply_add (struct GspanStoreReply *reply)
{
  struct GspanStoreObject *object = g_new0 (struct GspanStoreObject, 1);

  g_ptr_array_add (reply->objects, object);
  return object;
}

const struct GspanStoreObject *
gspan_store_reply_first (const struct GspanStoreReply *reply)
{
  return reply->objects->len > 0 ? g_ptr_array_index (reply->objects, 0) : NULL;
}

bool
gspan_store_op_is_write (enum GspanStoreOp op)
{
  return op >= GSPAN_STORE_CREATE;
}

const char *
gspan_store_result_name (enum GspanStoreResult result)
{
  static const char *const names[]
      = { "ok", "conflict", "missing", "gap", "unavailable", "unknown" };

  return names[result];
}
