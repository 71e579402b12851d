#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sse.h"

struct decode_case
{
  const char *name;
  const char *stream;
  const char *events; /* "name|data;" each */
};

static const struct decode_case decode_cases[] = {
  { "one event", "data: a\n\n", "|a;" },
  { "no space", "data:a\n\n", "|a;" },
  { "only one space is removed", "data:  a\n\n", "| a;" },
  { "CR LF", "data: a\r\n\r\n", "|a;" },
  { "CR", "data: a\r\r", "|a;" },
  { "two lines of data", "data: a\ndata: b\n\n", "|a\nb;" },
  { "empty data", "data\n\ndata:\n\n", "|;|;" },
  { "comment and unknown field", ": x\nid: 1\ndata: a\n\n", "|a;" },
  { "event name", "event: error\ndata: a\n\ndata: b\n\n", "error|a;|b;" },
  { "a name without data is not an event", "event: x\n\ndata: a\n\n", "|a;" },
  { "an unfinished event is not reported", "data: a\n\ndata: b\n", "|a;" },
  { "a field name that only starts with data", "datax: a\n\n", "" },
};

static bool
append_event (void *context, const struct sse_event *event)
{
  char *out = context;

  sprintf (out + strlen (out), "%s|%s;", event->name, event->data);
  return true;
}

/* The events must not depend on where the stream is split into reads. */
static void
test_decode (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof decode_cases / sizeof decode_cases[0]; i++)
    {
      const char *stream = decode_cases[i].stream;

      print_message ("case: %s\n", decode_cases[i].name);
      for (size_t split = 0; split <= strlen (stream); split++)
        {
          struct sse_decoder decoder;
          char out[256] = "";

          sse_decoder_init (&decoder);
          assert_int_equal (
              sse_decode (&decoder, stream, split, append_event, out),
              RESULT_OK);
          assert_int_equal (sse_decode (&decoder, stream + split,
                                        strlen (stream + split), append_event,
                                        out),
                            RESULT_OK);
          assert_string_equal (out, decode_cases[i].events);
          sse_decoder_finish (&decoder);
        }
    }
}

/* An endless line or event must fail instead of using up the memory. */
static void
test_decode_limit (void **state)
{
  static const char *const prefixes[] = { "", "data: ", ": " };
  char block[1024];

  (void)state;
  memset (block, 'x', sizeof block);
  for (size_t i = 0; i < 4; i++)
    {
      struct sse_decoder decoder;
      enum result result = RESULT_OK;
      size_t fed_bytes = 0;

      sse_decoder_init (&decoder);
      if (i < 3)
        sse_decode (&decoder, prefixes[i], strlen (prefixes[i]), append_event,
                    NULL);
      for (;
           result == RESULT_OK && fed_bytes < (size_t)4 * SSE_EVENT_LIMIT_BYTES;
           fed_bytes += sizeof block)
        {
          result
              = sse_decode (&decoder, block, sizeof block, append_event, NULL);
          /* The last case feeds many short lines of one event. */
          if (i == 3 && result == RESULT_OK)
            result = sse_decode (&decoder, "\ndata: ", 7, append_event, NULL);
        }
      assert_int_equal (result, RESULT_TOO_LARGE);
      assert_in_range (fed_bytes, 1, (size_t)2 * SSE_EVENT_LIMIT_BYTES);
      sse_decoder_finish (&decoder);
    }
}

static bool
free_decoder_and_stop (void *context, const struct sse_event *event)
{
  struct sse_decoder *decoder = context;

  (void)event;
  /* A request that ends in its callback frees the decoder. */
  sse_decoder_finish (decoder);
  memset (decoder, 0x5a, sizeof *decoder);
  return false;
}

static void
test_decoder_freed_by_visit (void **state)
{
  struct sse_decoder decoder;

  (void)state;
  sse_decoder_init (&decoder);
  assert_int_equal (sse_decode (&decoder, "data: a\n\ndata: b\n\n", 18,
                                free_decoder_and_stop, &decoder),
                    RESULT_OK);
  assert_int_equal (decoder.name[0], 0x5a);
}

struct token_case
{
  const char *data;
  enum token_kind kind;
  uint64_t index;
  const char *text;
};

static const struct token_case token_cases[] = {
  { "{\"index\":3,\"text\":\"a\\u00e9\"}", TOKEN_TEXT, 3, "a\xc3\xa9" },
  { "{\"index\":0,\"text\":\"\"}", TOKEN_TEXT, 0, "" },
  { "[DONE]", TOKEN_END, 0, NULL },
  { "[DONE] ", TOKEN_MALFORMED, 0, NULL },
  { "", TOKEN_MALFORMED, 0, NULL },
  { "{}", TOKEN_MALFORMED, 0, NULL },
  { "{\"index\":-1,\"text\":\"a\"}", TOKEN_MALFORMED, 0, NULL },
  { "{\"index\":1.5,\"text\":\"a\"}", TOKEN_MALFORMED, 0, NULL },
  { "{\"index\":1}", TOKEN_MALFORMED, 0, NULL },
  { "{\"index\":1,\"text\":7}", TOKEN_MALFORMED, 0, NULL },
  { "{\"index\":1,\"text\":\"\xff\"}", TOKEN_MALFORMED, 0, NULL },
  { "{\"index\":1,\"index\":2,\"text\":\"a\"}", TOKEN_MALFORMED, 0, NULL },
};

static void
test_tokens (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof token_cases / sizeof token_cases[0]; i++)
    {
      const struct token_case *test = &token_cases[i];
      struct sse_event event = { "", test->data, strlen (test->data) };
      struct token token;

      assert_int_equal (token_parse (&event, &token), test->kind);
      if (test->kind == TOKEN_TEXT)
        {
          assert_int_equal (token.index, test->index);
          assert_string_equal (token.text, test->text);
        }
      else
        assert_null (token.text);
      free (token.text);
      event.name = "error";
      assert_int_equal (token_parse (&event, &token), TOKEN_MALFORMED);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_decode),
    cmocka_unit_test (test_decode_limit),
    cmocka_unit_test (test_decoder_freed_by_visit),
    cmocka_unit_test (test_tokens),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
