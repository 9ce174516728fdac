#pragma once

#include <ev.h>
#include <microhttpd.h>
#include <stdbool.h>

/*
 * Runs a libmicrohttpd daemon on a libev loop: watches its epoll descriptor and keeps its timeout.
 * The daemon is of MHD_USE_EPOLL, without threads of its own.
 */
struct GspanMhdLoop
{
  struct ev_loop *loop;
  struct MHD_Daemon *daemon;
  bool run_again; /* a connection was resumed, which goes on at the daemon's next turn only */
  ev_io io;
  ev_timer timer;
  ev_prepare prepare;
};

/* MHD_LOOP may not move until it is finished. */
void gspan_mhd_loop_init (struct GspanMhdLoop *mhd_loop, struct ev_loop *loop,
                          struct MHD_Daemon *daemon);

/* To be called before the daemon is stopped. */
void gspan_mhd_loop_finish (struct GspanMhdLoop *mhd_loop);

/* Has the daemon take another turn before the loop sleeps. */
void gspan_mhd_loop_run_again (struct GspanMhdLoop *mhd_loop);
