#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http-connection.h"
#include "log.h"

/*
 * Messages that arrive behind one that is being served: a server that answers
 * each at once, or later.
 */

#define MESSAGE "GET / HTTP/1.1\r\n\r\n"
#define MESSAGE_SIZE (sizeof MESSAGE - 1)
#define PENDING_BYTES 65536

static struct
{
  struct event_base *base;
  int peer; /* the client's side */
  struct http_connection connection;
  struct memory_account account;
  bool answers_at_once;
  unsigned served;
  unsigned depth; /* of calls that report a message */
  unsigned most_depth;
  bool closed;
} test;

static void
on_head (void *context, const struct http_head *head)
{
  (void)context;
  (void)head;
}

static void
on_body (void *context, const char *data, size_t size)
{
  (void)context;
  (void)data;
  (void)size;
}

static void
on_complete (void *context)
{
  (void)context;
  test.served++;
  test.depth++;
  if (test.depth > test.most_depth)
    test.most_depth = test.depth;
  if (test.answers_at_once)
    http_connection_next_message (&test.connection, false);
  test.depth--;
}

static void
on_closed (void *context, enum http_end end)
{
  (void)context;
  (void)end;
  test.closed = true;
  http_connection_finish (&test.connection);
}

static const struct http_events events = {
  .head = on_head,
  .body = on_body,
  .complete = on_complete,
  .closed = on_closed,
};

static void
setup_connection (bool is_charged)
{
  const struct http_limits limits = { 16384, PENDING_BYTES };
  int ends[2];

  memset (&test, 0, sizeof test);
  test.base = event_base_new ();
  memory_account_init (&test.account, 1 << 20, 0.5, 0.7);
  assert_int_equal (socketpair (AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends),
                    0);
  test.peer = ends[1];
  assert_int_equal (http_connection_accept (&test.connection, test.base,
                                            ends[0], &limits, &events, NULL),
                    RESULT_OK);
  if (is_charged)
    http_connection_set_account (&test.connection, &test.account,
                                 MEMORY_TO_CLIENTS);
}

static void
teardown_connection (void)
{
  http_connection_finish (&test.connection);
  close (test.peer);
  event_base_loop (test.base, EVLOOP_NONBLOCK);
  event_base_free (test.base);
  assert_int_equal (test.account.total, 0);
}

/* Sends as many of the messages as the socket takes; returns their number. */
static unsigned
send_messages (unsigned count)
{
  unsigned sent = 0;

  while (sent < count
         && send (test.peer, MESSAGE, MESSAGE_SIZE, MSG_NOSIGNAL)
                == (ssize_t)MESSAGE_SIZE)
    {
      sent++;
      if (sent % 64 == 0)
        event_base_loop (test.base, EVLOOP_NONBLOCK);
    }
  return sent;
}

/*
 * Guards against a call within a call for each pending message, with a copy of
 * the rest each, and against messages that are lost.
 */
static void
test_pending_messages_do_not_nest (void **state)
{
  const unsigned count = 3500;

  (void)state;
  setup_connection (false);
  assert_int_equal (send_messages (count), count);
  event_base_loop (test.base, EVLOOP_NONBLOCK);
  assert_int_equal (test.served, 1);
  test.answers_at_once = true;
  http_connection_next_message (&test.connection, false);
  for (unsigned i = 0; i < count && test.served < count; i++)
    event_base_loop (test.base, EVLOOP_NONBLOCK);
  assert_int_equal (test.served, count);
  assert_int_equal (test.most_depth, 1);
  assert_false (test.closed);
  teardown_connection ();
}

/*
 * Guards against a message that is lost because its client sends too much
 * behind it, and against pending bytes without a limit.
 */
static void
test_reading_stops_behind_a_message (void **state)
{
  unsigned sent;

  (void)state;
  setup_connection (false);
  sent = send_messages (50000);
  for (unsigned i = 0; i < 100; i++)
    event_base_loop (test.base, EVLOOP_NONBLOCK);
  assert_false (test.closed);
  assert_int_equal (test.served, 1);
  assert_in_range (http_connection_pending_bytes (&test.connection), 1,
                   PENDING_BYTES + 16384);
  test.answers_at_once = true;
  http_connection_next_message (&test.connection, false);
  for (unsigned i = 0; i < sent && test.served < sent; i++)
    event_base_loop (test.base, EVLOOP_NONBLOCK);
  assert_int_equal (test.served, sent);
  teardown_connection ();
}

/* Guards against input that is read although memory is short. */
static void
test_reading_stops_when_memory_is_short (void **state)
{
  struct memory_charge elsewhere = { 0 };

  (void)state;
  setup_connection (true);
  memory_account_set (&test.account, MEMORY_BODIES, &elsewhere,
                      test.account.tight_bytes);
  send_messages (3500);
  for (unsigned i = 0; i < 100; i++)
    event_base_loop (test.base, EVLOOP_NONBLOCK);
  assert_in_range (http_connection_pending_bytes (&test.connection), 1, 16384);
  memory_account_set (&test.account, MEMORY_BODIES, &elsewhere, 0);
  teardown_connection ();
}

/* Guards against bytes that are written twice, out of order, or not charged. */
static void
test_writes_without_copies (void **state)
{
  const size_t size = 3 << 20;
  char *borrowed = malloc (size);
  char *received = malloc (3 * size);
  struct http_text text;
  size_t have = 0;
  ssize_t part;

  (void)state;
  assert_non_null (borrowed);
  assert_non_null (received);
  memset (borrowed, 'b', size);
  setup_connection (true);
  http_text_init (&text);
  for (size_t i = 0; i < size; i++)
    http_text_add (&text, "t", 1);
  http_connection_write (&test.connection, "head", 4);
  http_connection_write_text (&test.connection, &text);
  assert_null (text.data);
  assert_in_range (test.account.held[MEMORY_TO_CLIENTS], size / 2, size);
  http_connection_write_borrowed (&test.connection, borrowed, size);
  assert_in_range (test.account.held[MEMORY_TO_CLIENTS], size / 2, size);
  while (have < 4 + 2 * size)
    {
      event_base_loop (test.base, EVLOOP_NONBLOCK);
      part = recv (test.peer, received + have, 3 * size - have, 0);
      if (part > 0)
        have += (size_t)part;
    }
  assert_int_equal (have, 4 + 2 * size);
  assert_memory_equal (received, "headt", 5);
  assert_memory_equal (received + 4 + size - 1, "tb", 2);
  event_base_loop (test.base, EVLOOP_NONBLOCK);
  assert_int_equal (test.account.held[MEMORY_TO_CLIENTS], 0);
  teardown_connection ();
  free (received);
  free (borrowed);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_pending_messages_do_not_nest),
    cmocka_unit_test (test_reading_stops_behind_a_message),
    cmocka_unit_test (test_reading_stops_when_memory_is_short),
    cmocka_unit_test (test_writes_without_copies),
  };

  signal (SIGPIPE, SIG_IGN);
  log_set_level (LOG_LEVEL_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
