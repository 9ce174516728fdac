#pragma once

#include <arpa/inet.h>
#include <ev.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

/* One loop with raw sockets on loopback, for faults that no HTTP library would commit. */
class Wire
{
public:
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);

  ~Wire ()
  {
    ev_loop_destroy (loop);
  }

  /* Runs the loop until DONE holds. False after a bound that only a hanging run reaches. */
  bool
  run_until (const std::function<bool ()> &done) const
  {
    for (int i = 0; i < 20000; i++)
      {
        if (done ())
          return true;
        ev_run (loop, EVRUN_NOWAIT);
        usleep (500);
      }
    return false;
  }
};

/* Bytes that follow after a pause. */
struct WirePart
{
  double after_s;
  std::string bytes;
};

/* Bytes to send for one request, and whether the connection is closed after the last of them. */
struct WireStep
{
  std::string bytes;
  bool close;
  bool reset = false; /* closes by a reset */
  std::vector<WirePart> parts{};
  std::string stray{}; /* goes first where the connection has carried a request before */
};

/*
 * Address of loopback that no server of this process has had before: what a client remembers of an
 * upstream, it remembers by its address, and the kernel gives ports out again.
 */
inline in_addr_t
unused_loopback_address ()
{
  static uint32_t last = INADDR_LOOPBACK;

  return htonl (++last);
}

/* ADDRESS:PORT. */
inline std::string
address_text (const sockaddr_in &where)
{
  return inet_ntoa (where.sin_addr) + (":" + std::to_string (ntohs (where.sin_port)));
}

/* Server that reads whole requests and answers them by a script, wherever they come in. */
class WireServer
{
public:
  std::vector<WireStep> script;            /* by request; the last one is repeated */
  std::map<std::string, WireStep> by_path; /* goes before the script */
  unsigned requests = 0;
  unsigned connections = 0;
  bool accepts_once = false; /* refuses all connections after the first one */
  unsigned parts_sent = 0;
  std::string address;

  explicit WireServer (Wire &wire) : wire_ (wire)
  {
    sockaddr_in where{};
    socklen_t len = sizeof where;

    fd_ = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    where.sin_family = AF_INET;
    where.sin_addr.s_addr = unused_loopback_address ();
    bind (fd_, reinterpret_cast<sockaddr *> (&where), sizeof where);
    listen (fd_, 512);
    getsockname (fd_, reinterpret_cast<sockaddr *> (&where), &len);
    address = address_text (where);
    watch (fd_, on_accept);
  }

  ~WireServer ()
  {
    for (auto &[fd, pending] : pending_)
      ev_timer_stop (wire_.loop, &pending->timer);
    for (auto &[fd, io] : watchers_)
      {
        ev_io_stop (wire_.loop, io.get ());
        close (fd);
      }
  }

  WireServer (const WireServer &) = delete;
  WireServer &operator= (const WireServer &) = delete;

  size_t
  open_connections () const
  {
    return watchers_.size () - watchers_.count (fd_);
  }

private:
  Wire &wire_;
  int fd_;
  std::map<int, std::unique_ptr<ev_io>> watchers_;
  std::map<int, std::string> input_;
  std::map<int, unsigned> carried_; /* requests by connection */

  /* What is still to be sent on a connection. */
  struct Pending
  {
    WireServer *server;
    int fd;
    WireStep step;
    size_t next;
    ev_timer timer;
  };
  std::map<int, std::unique_ptr<Pending>> pending_;

  void
  watch (int fd, void (*callback) (struct ev_loop *, ev_io *, int))
  {
    auto io = std::make_unique<ev_io> ();

    ev_io_init (io.get (), callback, fd, EV_READ);
    io->data = this;
    ev_io_start (wire_.loop, io.get ());
    watchers_[fd] = std::move (io);
  }

  static void
  on_accept (struct ev_loop *, ev_io *io, int)
  {
    auto *self = static_cast<WireServer *> (io->data);
    int fd = accept4 (io->fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);

    if (fd < 0)
      return;
    const int on = 1;
    setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    self->connections++;
    if (self->accepts_once)
      self->drop (io->fd);
    self->watch (fd, on_readable);
  }

  static bool
  is_whole (const std::string &text)
  {
    size_t end = text.find ("\r\n\r\n");
    size_t length = text.find ("Content-Length: ");

    if (end == std::string::npos)
      return false;
    return length == std::string::npos
           || text.size () >= end + 4 + std::stoul (text.substr (length + 16));
  }

  void
  drop (int fd, bool reset = false)
  {
    const linger at_once = { 1, 0 };
    auto pending = pending_.find (fd);

    if (reset)
      setsockopt (fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    if (pending != pending_.end ())
      {
        ev_timer_stop (wire_.loop, &pending->second->timer);
        pending_.erase (pending);
      }
    ev_io_stop (wire_.loop, watchers_[fd].get ());
    watchers_.erase (fd);
    input_.erase (fd);
    carried_.erase (fd);
    close (fd);
  }

  static void
  send_all (int fd, const std::string &bytes)
  {
    if (!bytes.empty () && send (fd, bytes.data (), bytes.size (), MSG_NOSIGNAL) < 0)
      perror ("send");
  }

  /* Sends the next part once its pause is over, or ends the connection as the step says. */
  void
  go_on (Pending &pending)
  {
    const int fd = pending.fd;

    if (pending.next < pending.step.parts.size ())
      {
        ev_now_update (wire_.loop);
        ev_timer_set (&pending.timer, pending.step.parts[pending.next].after_s, 0);
        ev_timer_start (wire_.loop, &pending.timer);
        return;
      }
    if (pending.step.reset || pending.step.close)
      drop (fd, pending.step.reset);
    else
      pending_.erase (fd);
  }

  static void
  on_pause_over (struct ev_loop *, ev_timer *timer, int)
  {
    auto *pending = static_cast<Pending *> (timer->data);

    send_all (pending->fd, pending->step.parts[pending->next++].bytes);
    pending->server->parts_sent++;
    pending->server->go_on (*pending);
  }

  const WireStep &
  step_for (const std::string &request)
  {
    const size_t from = request.find (' ') + 1;
    const auto found = by_path.find (request.substr (from, request.find (' ', from) - from));

    if (found != by_path.end ())
      return found->second;
    return script[std::min<size_t> (requests, script.size () - 1)];
  }

  static void
  on_readable (struct ev_loop *, ev_io *io, int)
  {
    auto *self = static_cast<WireServer *> (io->data);
    int fd = io->fd;
    char buffer[4096];
    ssize_t len = read (fd, buffer, sizeof buffer);

    if (len <= 0)
      {
        self->drop (fd);
        return;
      }
    self->input_[fd].append (buffer, static_cast<size_t> (len));
    if (!is_whole (self->input_[fd]))
      return;
    const WireStep &step = self->step_for (self->input_[fd]);
    self->input_[fd].clear ();
    self->requests++;
    if (self->carried_[fd]++ > 0)
      send_all (fd, step.stray);
    send_all (fd, step.bytes);
    auto pending = std::make_unique<Pending> (Pending{ self, fd, step, 0, {} });
    ev_init (&pending->timer, on_pause_over);
    pending->timer.data = pending.get ();
    Pending &kept = *pending;
    if (self->pending_.count (fd) != 0)
      ev_timer_stop (self->wire_.loop, &self->pending_[fd]->timer);
    self->pending_[fd] = std::move (pending);
    self->go_on (kept);
  }
};

/* Server that answers every request with HEAD and then PIECE again and again, until the peer
 * closes. */
class EndlessServer
{
public:
  std::string address;
  size_t sent = 0;
  bool closed_by_peer = false;

  EndlessServer (Wire &wire, std::string head, std::string piece)
      : wire_ (wire), head_ (std::move (head)), piece_ (std::move (piece))
  {
    sockaddr_in where{};
    socklen_t len = sizeof where;

    listener_ = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    where.sin_family = AF_INET;
    where.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    bind (listener_, reinterpret_cast<sockaddr *> (&where), sizeof where);
    listen (listener_, 16);
    getsockname (listener_, reinterpret_cast<sockaddr *> (&where), &len);
    address = "127.0.0.1:" + std::to_string (ntohs (where.sin_port));
    ev_io_init (&accept_, on_accept, listener_, EV_READ);
    accept_.data = this;
    ev_io_start (wire_.loop, &accept_);
  }

  ~EndlessServer ()
  {
    drop ();
    ev_io_stop (wire_.loop, &accept_);
    close (listener_);
  }

  EndlessServer (const EndlessServer &) = delete;
  EndlessServer &operator= (const EndlessServer &) = delete;

private:
  Wire &wire_;
  std::string head_;
  std::string piece_;
  std::string pending_;
  int listener_;
  int fd_ = -1;
  ev_io accept_{};
  ev_io write_{};

  void
  drop ()
  {
    if (fd_ < 0)
      return;
    ev_io_stop (wire_.loop, &write_);
    close (fd_);
    fd_ = -1;
  }

  static void
  on_accept (struct ev_loop *, ev_io *io, int)
  {
    auto *self = static_cast<EndlessServer *> (io->data);

    self->drop ();
    self->fd_ = accept4 (io->fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    self->pending_ = self->head_;
    ev_io_init (&self->write_, on_writable, self->fd_, EV_WRITE);
    self->write_.data = self;
    ev_io_start (self->wire_.loop, &self->write_);
  }

  static void
  on_writable (struct ev_loop *, ev_io *io, int)
  {
    auto *self = static_cast<EndlessServer *> (io->data);

    while (self->pending_.size () < 65536)
      self->pending_ += self->piece_;
    ssize_t len = send (io->fd, self->pending_.data (), self->pending_.size (), MSG_NOSIGNAL);
    if (len < 0 && errno == EAGAIN)
      return;
    if (len < 0)
      {
        self->closed_by_peer = true;
        self->drop ();
        return;
      }
    self->sent += static_cast<size_t> (len);
    self->pending_.erase (0, static_cast<size_t> (len));
  }
};

/* Caller with one raw connection to PORT. */
class WireCaller
{
public:
  int fd;
  std::string got;
  bool closed = false;
  bool reset = false; /* closed by a reset */

  explicit WireCaller (uint16_t port)
  {
    sockaddr_in where{};

    fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    where.sin_family = AF_INET;
    where.sin_port = htons (port);
    where.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    if (connect (fd, reinterpret_cast<sockaddr *> (&where), sizeof where) != 0)
      perror ("connect");
    fcntl (fd, F_SETFL, O_NONBLOCK);
  }

  ~WireCaller ()
  {
    if (fd >= 0)
      close (fd);
  }

  WireCaller (const WireCaller &) = delete;
  WireCaller &operator= (const WireCaller &) = delete;

  void
  say (const std::string &text) const
  {
    (void)!::send (fd, text.data (), text.size (), MSG_NOSIGNAL);
  }

  void
  hang_up ()
  {
    close (fd);
    fd = -1;
  }

  /* Reads what has come. True once TEXT is in it, or, for "", once the other side has closed. */
  bool
  hears (const std::string &text)
  {
    char buffer[65536];
    ssize_t len;

    while ((len = recv (fd, buffer, sizeof buffer, 0)) > 0)
      got.append (buffer, static_cast<size_t> (len));
    reset = reset || (len < 0 && errno == ECONNRESET);
    closed = closed || len == 0 || (len < 0 && errno != EAGAIN);
    return text.empty () ? closed : got.find (text) != std::string::npos;
  }
};
