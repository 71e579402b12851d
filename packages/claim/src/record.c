#include "claim-internal.h"

#include "jsonutil.h"

#include <openssl/evp.h>
#include <stdlib.h>
#include <string.h>

/* Of CLAIM_RECORD_RESERVED_BYTES, for the content type. */
#define CONTENT_TYPE_RESERVED_BYTES 64

static const char *const state_names[]
    = { "claimed", "done", "not_run", "unknown" };

/* Size in bytes of the text as a JSON string written by jansson. */
static size_t
compute_escaped_size (const char *text, size_t size)
{
  size_t total = 0;

  for (size_t i = 0; i < size; i++)
    {
      unsigned char c = (unsigned char)text[i];

      total += c < 0x20 ? 6 : c == '"' || c == '\\' ? 2 : 1;
    }
  return total;
}

static size_t
compute_base64_size (size_t size)
{
  return (size + 2) / 3 * 4;
}

/*
 * A body is stored as text unless base64 is shorter, or the body is not valid
 * UTF-8 or contains NUL, which jansson does not read back.
 */
static bool
is_stored_as_text (const char *body, size_t size)
{
  json_t *text;

  if (memchr (body, '\0', size) != NULL
      || compute_escaped_size (body, size) > compute_base64_size (size))
    return false;
  text = json_stringn (body, size);
  json_decref (text);
  return text != NULL;
}

void
claim_answer_finish (struct claim_answer *answer)
{
  free (answer->content_type);
  free (answer->body);
  memset (answer, 0, sizeof *answer);
}

/* What a record with this content type, or NULL, takes besides the body. */
static size_t
compute_head_size (const char *type)
{
  size_t size = type != NULL ? strlen (type) : 0;

  /* Printable characters take 2 bytes in JSON at most. */
  return CLAIM_RECORD_RESERVED_BYTES
         + (size > CONTENT_TYPE_RESERVED_BYTES ? 2 * size : 0);
}

size_t
claim_answer_stored_size (const struct claim_answer *answer)
{
  size_t size = answer->body_size;

  if (size == 0)
    return compute_head_size (answer->content_type);
  return compute_head_size (answer->content_type)
         + (is_stored_as_text (answer->body, size)
                ? compute_escaped_size (answer->body, size)
                : compute_base64_size (size));
}

size_t
claim_record_stored_size (const json_t *value)
{
  const json_t *text = json_object_get (value, "body");
  const json_t *base64 = json_object_get (value, "body64");
  size_t size = compute_head_size (
      json_string_value (json_object_get (value, "content_type")));

  if (json_is_string (text))
    size += compute_escaped_size (json_string_value (text),
                                  json_string_length (text));
  if (json_is_string (base64))
    size += json_string_length (base64);
  return size;
}

static int
set_body (json_t *value, const struct claim_answer *answer)
{
  size_t size = answer->body_size;
  char *base64;
  int failed;

  if (size == 0)
    return 0;
  if (is_stored_as_text (answer->body, size))
    return json_object_set_new (value, "body",
                                json_stringn_nocheck (answer->body, size));
  base64 = malloc (compute_base64_size (size) + 1);
  if (base64 == NULL)
    return -1;
  EVP_EncodeBlock ((unsigned char *)base64, (const unsigned char *)answer->body,
                   (int)size);
  failed = json_object_set_new (value, "body64", json_string (base64));
  free (base64);
  return failed;
}

json_t *
claim_body_encode (const struct claim_answer *answer)
{
  json_t *value = json_object ();

  if (value != NULL && set_body (value, answer) != 0)
    {
      json_decref (value);
      return NULL;
    }
  return value;
}

static bool
decode_base64 (const json_t *base64, struct claim_answer *answer)
{
  size_t size = json_string_length (base64);
  const char *text = json_string_value (base64);
  int decoded;

  if (size == 0 || size % 4 != 0)
    return false;
  answer->body = malloc (size / 4 * 3);
  if (answer->body == NULL)
    return false;
  decoded = EVP_DecodeBlock ((unsigned char *)answer->body,
                             (const unsigned char *)text, (int)size);
  if (decoded < 0)
    {
      free (answer->body);
      answer->body = NULL;
      return false;
    }
  /* EVP_DecodeBlock counts the padding as data. */
  answer->body_size
      = (size_t)decoded - (text[size - 1] == '=') - (text[size - 2] == '=');
  return true;
}

bool
claim_body_decode (const json_t *value, struct claim_answer *answer)
{
  const json_t *text = json_object_get (value, "body");
  const json_t *base64 = json_object_get (value, "body64");

  answer->body = NULL;
  answer->body_size = 0;
  if (!json_is_object (value))
    return false;
  if (json_is_string (base64))
    return decode_base64 (base64, answer);
  if (text == NULL)
    return true;
  if (!json_is_string (text))
    return false;
  answer->body = malloc (json_string_length (text) + 1);
  if (answer->body == NULL)
    return false;
  answer->body_size = json_string_length (text);
  memcpy (answer->body, json_string_value (text), answer->body_size + 1);
  return true;
}

/*
 * Returns the content type if it is printable ASCII, so that its size in JSON
 * is within that of compute_head_size.
 */
static const char *
get_storable_content_type (const struct claim_answer *answer)
{
  const char *type = answer->content_type != NULL ? answer->content_type : "";

  for (const char *c = type; *c != '\0'; c++)
    if (*c < 0x20 || *c > 0x7e)
      return "application/octet-stream";
  return type;
}

json_t *
claim_record_encode (const struct claim_record *record)
{
  json_t *value = json_pack (
      "{s:s, s:s, s:s, s:s}", "fingerprint", record->fingerprint, "token",
      record->token, "host", record->host, "state", state_names[record->state]);
  int failed = 0;

  if (value == NULL || record->state != CLAIM_DONE)
    return value;
  failed |= json_object_set_new (value, "status",
                                 json_integer (record->answer.status));
  failed |= json_object_set_new (
      value, "content_type",
      json_string (get_storable_content_type (&record->answer)));
  if (record->body_in_own_object)
    failed |= json_object_set_new (value, "body_at",
                                   json_sprintf ("answers/%s", record->token));
  else
    failed |= set_body (value, &record->answer);
  if (failed != 0)
    {
      json_decref (value);
      return NULL;
    }
  return value;
}

bool
claim_state_decode (const json_t *value, enum claim_state *state)
{
  char name[16];

  if (!json_read_string (value, "state", name, sizeof name))
    return false;
  for (size_t i = 0; i < sizeof state_names / sizeof state_names[0]; i++)
    if (strcmp (name, state_names[i]) == 0)
      {
        *state = (enum claim_state)i;
        return true;
      }
  return false;
}

static bool
decode_answer (const json_t *value, struct claim_record *record)
{
  struct claim_answer *answer = &record->answer;
  const char *type
      = json_string_value (json_object_get (value, "content_type"));
  char body_at[CLAIM_OBJECT_SIZE];
  uint64_t status;

  if (!json_read_u64 (value, "status", &status) || status < 100 || status > 999
      || type == NULL)
    return false;
  answer->content_type = strdup (type);
  if (answer->content_type == NULL)
    return false;
  answer->status = (int)status;
  record->body_in_own_object
      = json_read_string (value, "body_at", body_at, sizeof body_at);
  return record->body_in_own_object || claim_body_decode (value, answer);
}

enum result
claim_record_decode (struct claim_record *record,
                     const char *key,
                     const json_t *value)
{
  int64_t token_ms;

  memset (record, 0, sizeof *record);
  if (strlen (key) < sizeof record->key
      && json_read_string (value, "fingerprint", record->fingerprint,
                           sizeof record->fingerprint)
      && json_read_string (value, "token", record->token, sizeof record->token)
      && uuid_parse_v7 (record->token, &token_ms)
      && json_read_string (value, "host", record->host, sizeof record->host)
      && claim_state_decode (value, &record->state)
      && (record->state != CLAIM_DONE || decode_answer (value, record)))
    {
      memcpy (record->key, key, strlen (key) + 1);
      return RESULT_OK;
    }
  claim_record_finish (record);
  return RESULT_INVALID;
}

void
claim_record_finish (struct claim_record *record)
{
  claim_answer_finish (&record->answer);
  memset (record, 0, sizeof *record);
}
