#include "result.h"

#include <stddef.h>

#define RESULT_ENTRY(number, name, status, outcome, text)                      \
  { (number), #name, (status), (outcome), (text) },
static const struct result_info table[] = {
#include "result-table.h"
};
#undef RESULT_ENTRY

#define TABLE_SIZE (sizeof table / sizeof table[0])

const struct result_info *
result_entry_at (unsigned index)
{
  return index < TABLE_SIZE ? &table[index] : NULL;
}

const struct result_info *
result_info (enum result code)
{
  const struct result_info *internal = NULL;

  for (size_t i = 0; i < TABLE_SIZE; i++)
    {
      if (table[i].number == (int)code)
        return &table[i];
      if (table[i].number == RESULT_INTERNAL)
        internal = &table[i];
    }
  return internal;
}

const char *
outcome_name (enum outcome outcome)
{
  switch (outcome)
    {
    case OUTCOME_DONE:
      return "done";
    case OUTCOME_NOT_RUN:
      return "not-run";
    case OUTCOME_UNKNOWN:
      return "unknown";
    case OUTCOME_NONE:
      break;
    }
  return "none";
}
