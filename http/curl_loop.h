#pragma once

#include <curl/curl.h>
#include <ev.h>

/* Runs a libcurl multi handle on a libev loop: watches its sockets and keeps its timer. */

/* FD is ready for ACTION, CURL_CSELECT_IN and _OUT; or the timer is, with CURL_SOCKET_TIMEOUT. */
typedef void (*GspanCurlLoopRun) (void *user, curl_socket_t fd, int action);

struct GspanCurlLoop
{
  struct ev_loop *loop;
  CURLM *multi;
  ev_timer timer;
  GspanCurlLoopRun run;
  void *user;
};

/* CURL_LOOP may not move as long as MULTI lives. */
void gspan_curl_loop_init (struct GspanCurlLoop *curl_loop, struct ev_loop *loop, CURLM *multi,
                           GspanCurlLoopRun run, void *user);

/* To be called after MULTI has been freed, which ends the watches of its sockets. */
void gspan_curl_loop_finish (struct GspanCurlLoop *curl_loop);
