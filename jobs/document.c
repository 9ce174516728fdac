#include "jobs/document.h"

static void
reward_free (struct GspanRewardRequest *reward)
{
  g_free (reward->id);
  g_free (reward->host);
  g_free (reward->path);
  g_clear_pointer (&reward->body, g_bytes_unref);
  g_free (reward);
}

static void
item_free (gpointer data)
{
  struct GspanJobItem *item = data;

  g_free (item->id);
  g_free (item->path);
  g_free (item->group);
  gspan_headers_finish (&item->headers);
  g_clear_pointer (&item->body, g_bytes_unref);
  g_clear_pointer (&item->reward, reward_free);
  g_free (item);
}

void
gspan_job_document_init (struct GspanJobDocument *document)
{
  *document = (struct GspanJobDocument){ 0 };
  document->items = g_ptr_array_new_with_free_func (item_free);
}

void
gspan_job_document_finish (struct GspanJobDocument *document)
{
  g_clear_pointer (&document->model, g_free);
  g_clear_pointer (&document->items, g_ptr_array_unref);
}

struct GspanJobItem *
gspan_job_document_add (struct GspanJobDocument *document)
{
  struct GspanJobItem *item = g_new0 (struct GspanJobItem, 1);

  gspan_headers_init (&item->headers);
  g_ptr_array_add (document->items, item);
  return item;
}

struct GspanRewardRequest *
gspan_job_item_add_reward (struct GspanJobItem *item)
{
  item->reward = g_new0 (struct GspanRewardRequest, 1);
  return item->reward;
}
