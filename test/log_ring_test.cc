#include <fcntl.h>
#include <gtest/gtest.h>
#include <string>
#include <unistd.h>

extern "C"
{
#include "common/clock.h"
#include "common/log_ring.h"
}

class LogRing : public testing::Test
{
protected:
  int fds[2]{ -1, -1 };
  GspanLogRing ring{};

  void
  SetUp () override
  {
    ASSERT_EQ (pipe (fds), 0);
    fcntl (fds[0], F_SETFL, O_NONBLOCK);
    gspan_log_ring_init (&ring, fds[1], GSPAN_PRIORITY_INFO, 100);
  }

  void
  TearDown () override
  {
    gspan_log_ring_finish (&ring);
    close (fds[0]);
    close (fds[1]);
  }

  std::string
  drain ()
  {
    std::string text;
    char block[4096];
    ssize_t count;

    while ((count = read (fds[0], block, sizeof block)) > 0)
      text.append (block, (size_t)count);
    return text;
  }
};

TEST_F (LogRing, LinesBelowTheLevelAreLeftOut)
{
  gspan_log_ring_add (&ring, 0, "m", GSPAN_PRIORITY_DEBUG, "event=a");
  gspan_log_ring_add (&ring, 0, "m", GSPAN_PRIORITY_INFO, "event=b");
  gspan_log_ring_flush (&ring);
  std::string text = drain ();
  EXPECT_EQ (text.find ("event=a"), std::string::npos);
  EXPECT_NE (text.find ("level=info module=m event=b\n"), std::string::npos);
}

TEST_F (LogRing, ReaderThatStallsNeverBlocksAndIsToldWhatItMissed)
{
  ring.lines_per_s = 0;
  for (int i = 0; i < 20000; i++)
    {
      gspan_log_ring_add (&ring, 0, "m", GSPAN_PRIORITY_INFO, "event=much text=0123456789");
      gspan_log_ring_flush (&ring);
    }
  EXPECT_GT (ring.dropped, 0U);
  std::string text;
  for (int i = 0; i < 200; i++)
    {
      text += drain ();
      gspan_log_ring_flush (&ring);
    }
  gspan_log_ring_add (&ring, 0, "m", GSPAN_PRIORITY_INFO, "event=after");
  gspan_log_ring_flush (&ring);
  text = drain ();
  EXPECT_NE (text.find ("event=log-lines-dropped count="), std::string::npos);
  EXPECT_NE (text.find ("event=after"), std::string::npos);
}

TEST_F (LogRing, BudgetOfASecondBoundsInfoLinesAndNeverWarnings)
{
  for (int i = 0; i < 300; i++)
    gspan_log_ring_add (&ring, GSPAN_SECOND, "m", GSPAN_PRIORITY_INFO, "event=x");
  gspan_log_ring_add (&ring, GSPAN_SECOND, "m", GSPAN_PRIORITY_WARNING, "event=w");
  EXPECT_EQ (ring.dropped_total, 200U);
  gspan_log_ring_add (&ring, 2 * GSPAN_SECOND, "m", GSPAN_PRIORITY_INFO, "event=y");
  gspan_log_ring_flush (&ring);
  std::string text = drain ();
  EXPECT_NE (text.find ("event=w"), std::string::npos);
  EXPECT_NE (text.find ("event=y"), std::string::npos);
  EXPECT_NE (text.find ("count=200"), std::string::npos);
}
