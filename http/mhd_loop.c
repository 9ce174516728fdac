#include "http/mhd_loop.h"

enum
{
  RUNS_PER_TURN = 8
};

static void
run_daemon (struct GspanMhdLoop *mhd_loop)
{
  for (int i = 0; i < RUNS_PER_TURN; i++)
    {
      mhd_loop->run_again = false;
      MHD_run (mhd_loop->daemon);
      if (!mhd_loop->run_again)
        break;
    }
}

static void
on_io (struct ev_loop *loop, ev_io *watcher, int events)
{
  (void)loop;
  (void)events;
  run_daemon (watcher->data);
}

static void
on_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  run_daemon (watcher->data);
}

static void
on_prepare (struct ev_loop *loop, ev_prepare *watcher, int events)
{
  struct GspanMhdLoop *mhd_loop = watcher->data;
  MHD_UNSIGNED_LONG_LONG timeout_ms;

  (void)events;
  if (mhd_loop->run_again)
    run_daemon (mhd_loop);
  ev_timer_stop (loop, &mhd_loop->timer);
  if (mhd_loop->run_again)
    timeout_ms = 0;
  else if (MHD_get_timeout (mhd_loop->daemon, &timeout_ms) != MHD_YES)
    return;
  ev_timer_set (&mhd_loop->timer, (double)timeout_ms / 1000.0, 0);
  ev_timer_start (loop, &mhd_loop->timer);
}

void
gspan_mhd_loop_init (struct GspanMhdLoop *mhd_loop, struct ev_loop *loop, struct MHD_Daemon *daemon)
{
  const union MHD_DaemonInfo *info = MHD_get_daemon_info (daemon, MHD_DAEMON_INFO_EPOLL_FD);

  mhd_loop->loop = loop;
  mhd_loop->daemon = daemon;
  mhd_loop->run_again = false;
  ev_io_init (&mhd_loop->io, on_io, info->epoll_fd, EV_READ);
  mhd_loop->io.data = mhd_loop;
  ev_io_start (loop, &mhd_loop->io);
  ev_timer_init (&mhd_loop->timer, on_timer, 0, 0);
  mhd_loop->timer.data = mhd_loop;
  ev_prepare_init (&mhd_loop->prepare, on_prepare);
  mhd_loop->prepare.data = mhd_loop;
  ev_prepare_start (loop, &mhd_loop->prepare);
}

void
gspan_mhd_loop_finish (struct GspanMhdLoop *mhd_loop)
{
  ev_io_stop (mhd_loop->loop, &mhd_loop->io);
  ev_timer_stop (mhd_loop->loop, &mhd_loop->timer);
  ev_prepare_stop (mhd_loop->loop, &mhd_loop->prepare);
}

void
gspan_mhd_loop_run_again (struct GspanMhdLoop *mhd_loop)
{
  mhd_loop->run_again = true;
}
