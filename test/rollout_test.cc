#include "test/bench.h"

#include <set>

extern "C"
{
#include "rollout/cursor.h"
}

/* Any choice of batches delivers every group once, and the cursor survives its text form. */
RC_GTEST_PROP (Cursor, EveryGroupIsTakenOnce, (const std::vector<uint8_t> &picks))
{
  GspanCursor cursor{};
  std::set<guint64> taken;
  size_t at = 0;

  gspan_cursor_init (&cursor);
  while (at + 2 <= picks.size ())
    {
      GArray *chosen = g_array_new (FALSE, FALSE, sizeof (guint64));
      GspanCursor next{};
      guint64 first = picks[at++] % 4;
      guint64 second = first + 1 + picks[at++] % 3;

      for (guint64 index : { first, second })
        {
          guint64 group = gspan_cursor_nth (&cursor, index);

          RC_ASSERT (gspan_cursor_wants (&cursor, group));
          RC_ASSERT (taken.insert (group).second);
          g_array_append_val (chosen, group);
        }
      gspan_cursor_init (&next);
      gspan_cursor_advance (&cursor, chosen, &next);
      char *text = gspan_cursor_format (&next, "a");
      RC_ASSERT (gspan_cursor_parse (&cursor, "a", gspan_str_from (text), nullptr));
      g_free (text);
      gspan_cursor_finish (&next);
      g_array_unref (chosen);
    }
  for (guint64 group = 0; group < cursor.next_group; group++)
    RC_ASSERT (gspan_cursor_wants (&cursor, group) != (taken.count (group) > 0));
  gspan_cursor_finish (&cursor);
}

TEST (Cursor, MalformedOnesAreRefused)
{
  GspanCursor cursor{};

  gspan_cursor_init (&cursor);
  for (const char *text :
       { "a:1", "b:1:2:", "a:x:2:", "a:1:2:1,1", "a:1:2:5", "a:1:2:1,0", "a:1:2:," })
    EXPECT_FALSE (gspan_cursor_parse (&cursor, "a", gspan_str_from (text), nullptr)) << text;
  EXPECT_TRUE (gspan_cursor_parse (&cursor, "a", gspan_str_from (""), nullptr));
  EXPECT_TRUE (gspan_cursor_parse (&cursor, "a", gspan_str_from ("a:1:2:0,1"), nullptr));
  gspan_cursor_finish (&cursor);
}
