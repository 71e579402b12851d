#include "settings.h"

#include <arpa/inet.h>
#include <errno.h>
#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <yaml.h>

#define FILE_LIMIT_BYTES (1 << 20)
#define KEY_LIMIT 128 /* largest number of keys in a table */

/* State of parsing one file. */
struct parse
{
  const struct settings_table *table;
  void *target; /* the struct that is filled */
  struct settings_errors *errors;
  enum result first_error; /* code of the first error, or RESULT_OK */
  yaml_document_t document;
  unsigned seen_line[KEY_LIMIT]; /* line of each key; 0 = not in the file */
};

static void __attribute__ ((format (printf, 5, 6)))
report_error (struct parse *parse,
              enum result code,
              unsigned line,
              const char *key,
              const char *format,
              ...)
{
  struct settings_errors *errors = parse->errors;
  va_list args;

  if (parse->first_error == RESULT_OK)
    parse->first_error = code;
  if (errors->count < SETTINGS_ERROR_LIMIT)
    {
      struct settings_error *error = &errors->list[errors->count];

      error->code = code;
      error->line = line;
      snprintf (error->key, sizeof error->key, "%s", key);
      va_start (args, format);
      vsnprintf (error->text, sizeof error->text, format, args);
      va_end (args);
    }
  errors->count++;
}

static void *
get_field (struct parse *parse, const struct settings_key *key)
{
  return (char *)parse->target + key->offset;
}

static void
check_range (struct parse *parse,
             const struct settings_key *key,
             unsigned line,
             double value)
{
  if (value < key->min || value > key->max)
    report_error (parse, RESULT_SETTINGS_OUT_OF_RANGE, line, key->name,
                  "%g is outside %g to %g", value, key->min, key->max);
}

static void
set_integer (struct parse *parse,
             const struct settings_key *key,
             unsigned line,
             const char *text)
{
  char *end;
  long long value;

  errno = 0;
  value = strtoll (text, &end, 10);
  if (end == text || *end != '\0' || errno != 0)
    {
      report_error (parse, RESULT_SETTINGS_BAD_VALUE, line, key->name,
                    "\"%.64s\" is not a whole number", text);
      return;
    }
  check_range (parse, key, line, (double)value);
  *(int64_t *)get_field (parse, key) = value;
}

static void
set_real (struct parse *parse,
          const struct settings_key *key,
          unsigned line,
          const char *text)
{
  char *end;
  double value = strtod (text, &end);

  if (end == text || *end != '\0' || !isfinite (value))
    {
      report_error (parse, RESULT_SETTINGS_BAD_VALUE, line, key->name,
                    "\"%.64s\" is not a number", text);
      return;
    }
  check_range (parse, key, line, value);
  *(double *)get_field (parse, key) = value;
}

static void
set_boolean (struct parse *parse,
             const struct settings_key *key,
             unsigned line,
             const char *text)
{
  bool value = strcmp (text, "true") == 0;

  if (!value && strcmp (text, "false") != 0)
    report_error (parse, RESULT_SETTINGS_BAD_VALUE, line, key->name,
                  "\"%.64s\" is neither true nor false", text);
  *(bool *)get_field (parse, key) = value;
}

static void
set_string (struct parse *parse,
            const struct settings_key *key,
            unsigned line,
            const char *text)
{
  if (strlen (text) < key->min || strlen (text) > key->max)
    {
      report_error (parse, RESULT_SETTINGS_BAD_VALUE, line, key->name,
                    "the string must have %g to %g bytes", key->min, key->max);
      return;
    }
  snprintf (get_field (parse, key), SETTINGS_TEXT_SIZE, "%s", text);
}

static void
set_address (struct parse *parse,
             const struct settings_key *key,
             unsigned line,
             const char *text)
{
  struct in6_addr parsed;

  if (inet_pton (AF_INET, text, &parsed) != 1
      && inet_pton (AF_INET6, text, &parsed) != 1)
    {
      report_error (parse, RESULT_SETTINGS_BAD_VALUE, line, key->name,
                    "\"%.64s\" is not an IP address", text);
      return;
    }
  snprintf (get_field (parse, key), SETTINGS_TEXT_SIZE, "%s", text);
}

static void
set_scalar (struct parse *parse,
            const struct settings_key *key,
            unsigned line,
            const char *text)
{
  switch (key->kind)
    {
    case SETTINGS_STRING:
      set_string (parse, key, line, text);
      break;
    case SETTINGS_ADDRESS:
      set_address (parse, key, line, text);
      break;
    case SETTINGS_INTEGER:
      set_integer (parse, key, line, text);
      break;
    case SETTINGS_REAL:
      set_real (parse, key, line, text);
      break;
    case SETTINGS_BOOLEAN:
      set_boolean (parse, key, line, text);
      break;
    case SETTINGS_LIST:
      if (*text != '\0')
        report_error (parse, RESULT_SETTINGS_BAD_VALUE, line, key->name,
                      "a list is expected");
      break;
    }
}

static unsigned
get_line (const yaml_node_t *node)
{
  return (unsigned)node->start_mark.line + 1;
}

static void
set_list (struct parse *parse,
          const struct settings_key *key,
          const yaml_node_t *node)
{
  struct settings_list *list = get_field (parse, key);

  for (yaml_node_item_t *item = node->data.sequence.items.start;
       item < node->data.sequence.items.top; item++)
    {
      const yaml_node_t *entry
          = yaml_document_get_node (&parse->document, *item);

      if (entry->type != YAML_SCALAR_NODE
          || entry->data.scalar.length >= SETTINGS_TEXT_SIZE)
        report_error (parse, RESULT_SETTINGS_BAD_VALUE, get_line (entry),
                      key->name, "an entry of the list is not a short string");
      else if (list->count == SETTINGS_LIST_LIMIT)
        report_error (parse, RESULT_SETTINGS_OUT_OF_RANGE, get_line (entry),
                      key->name, "more than %d entries", SETTINGS_LIST_LIMIT);
      else
        snprintf (list->items[list->count++], SETTINGS_TEXT_SIZE, "%s",
                  (const char *)entry->data.scalar.value);
    }
}

static void
set_node (struct parse *parse,
          const struct settings_key *key,
          const yaml_node_t *node)
{
  if (key->kind == SETTINGS_LIST && node->type == YAML_SEQUENCE_NODE)
    set_list (parse, key, node);
  else if (node->type == YAML_SCALAR_NODE)
    set_scalar (parse, key, get_line (node),
                (const char *)node->data.scalar.value);
  else
    report_error (parse, RESULT_SETTINGS_BAD_VALUE, get_line (node), key->name,
                  "a single value is expected");
}

/*
 * Returns the index of the key or -1.  Sets *is_section if name is a prefix of
 * other keys.
 */
static int
find_key (const struct settings_table *table,
          const char *name,
          bool *is_section)
{
  size_t length = strlen (name);

  *is_section = false;
  for (unsigned i = 0; i < table->count; i++)
    {
      const struct settings_key *key = &table->keys[i];

      if (strcmp (key->name, name) == 0)
        return (int)i;
      if (strncmp (key->name, name, length) == 0 && key->name[length] == '.')
        *is_section = true;
    }
  return -1;
}

static void
read_mapping (struct parse *parse, const yaml_node_t *node, const char *prefix);

static void
read_pair (struct parse *parse,
           const yaml_node_t *name_node,
           const yaml_node_t *value,
           const char *prefix)
{
  char name[SETTINGS_TEXT_SIZE];
  bool is_section;
  int index;

  if (name_node->type != YAML_SCALAR_NODE)
    {
      report_error (parse, RESULT_SETTINGS_SYNTAX, get_line (name_node), prefix,
                    "a key must be a string");
      return;
    }
  snprintf (name, sizeof name, "%s%s%.128s", prefix,
            prefix[0] != '\0' ? "." : "",
            (const char *)name_node->data.scalar.value);
  index = find_key (parse->table, name, &is_section);
  if (is_section && value->type == YAML_MAPPING_NODE)
    read_mapping (parse, value, name);
  else if (is_section)
    report_error (parse, RESULT_SETTINGS_BAD_VALUE, get_line (value), name,
                  "a section of keys is expected");
  else if (index < 0)
    report_error (parse, RESULT_SETTINGS_UNKNOWN_KEY, get_line (name_node),
                  name, "there is no such key");
  else if (parse->seen_line[index] != 0)
    report_error (parse, RESULT_SETTINGS_DUPLICATE_KEY, get_line (name_node),
                  name, "first given in line %u", parse->seen_line[index]);
  else
    {
      parse->seen_line[index] = get_line (name_node);
      set_node (parse, &parse->table->keys[index], value);
    }
}

static void
read_mapping (struct parse *parse, const yaml_node_t *node, const char *prefix)
{
  for (yaml_node_pair_t *pair = node->data.mapping.pairs.start;
       pair < node->data.mapping.pairs.top; pair++)
    read_pair (parse, yaml_document_get_node (&parse->document, pair->key),
               yaml_document_get_node (&parse->document, pair->value), prefix);
}

static void
fill_defaults (struct parse *parse)
{
  for (unsigned i = 0; i < parse->table->count; i++)
    {
      const struct settings_key *key = &parse->table->keys[i];

      if (parse->seen_line[i] != 0)
        continue;
      if (key->default_value != NULL)
        set_scalar (parse, key, 0, key->default_value);
      else
        report_error (parse, RESULT_SETTINGS_MISSING_KEY, 0, key->name,
                      "the key is required");
    }
}

static void
read_document (struct parse *parse)
{
  const yaml_node_t *root = yaml_document_get_root_node (&parse->document);

  if (root == NULL || root->type != YAML_MAPPING_NODE)
    {
      report_error (parse, RESULT_SETTINGS_SYNTAX, 1, "",
                    "the file must hold a mapping of keys");
      return;
    }
  read_mapping (parse, root, "");
  fill_defaults (parse);
}

enum result
settings_parse_table (const struct settings_table *table,
                      void *target,
                      const char *text,
                      size_t size,
                      struct settings_errors *errors)
{
  struct parse parse = { .table = table, .target = target, .errors = errors };
  yaml_parser_t parser;

  memset (target, 0, table->size);
  errors->count = 0;
  if (yaml_parser_initialize (&parser) == 0)
    return RESULT_NO_MEMORY;
  yaml_parser_set_input_string (&parser, (const unsigned char *)text, size);
  if (yaml_parser_load (&parser, &parse.document) == 0)
    report_error (&parse, RESULT_SETTINGS_SYNTAX,
                  (unsigned)parser.problem_mark.line + 1, "", "%s",
                  parser.problem != NULL ? parser.problem : "not valid YAML");
  else
    {
      read_document (&parse);
      yaml_document_delete (&parse.document);
    }
  yaml_parser_delete (&parser);
  return parse.first_error;
}

enum result
settings_load_table (const struct settings_table *table,
                     void *target,
                     const char *path,
                     struct settings_errors *errors)
{
  struct parse parse = { .table = table, .target = target, .errors = errors };
  enum result result = RESULT_SETTINGS_UNREADABLE;
  char *text = NULL;
  size_t size;
  FILE *file;

  errors->count = 0;
  file = fopen (path, "re");
  if (file == NULL)
    {
      report_error (&parse, result, 0, "", "%s: %s", path, strerror (errno));
      return result;
    }
  text = malloc (FILE_LIMIT_BYTES);
  if (text == NULL)
    {
      result = RESULT_NO_MEMORY;
      goto out;
    }
  size = fread (text, 1, FILE_LIMIT_BYTES, file);
  if (ferror (file) || size == FILE_LIMIT_BYTES)
    {
      report_error (&parse, result, 0, "", "%s cannot be read or is too large",
                    path);
      goto out;
    }
  result = settings_parse_table (table, target, text, size, errors);

out:
  free (text);
  fclose (file);
  return result;
}

enum result
settings_parse (struct settings *settings,
                const char *text,
                size_t size,
                struct settings_errors *errors)
{
  return settings_parse_table (&settings_table, settings, text, size, errors);
}

enum result
settings_load (struct settings *settings,
               const char *path,
               struct settings_errors *errors)
{
  return settings_load_table (&settings_table, settings, path, errors);
}
