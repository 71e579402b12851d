#ifndef FUZZ_CHECK_H
#define FUZZ_CHECK_H

#include <stdio.h>
#include <stdlib.h>

/* Ends the run as failed, and names the place, unless the condition holds. */
#define CHECK(condition)                                                       \
  do                                                                           \
    {                                                                          \
      if (!(condition))                                                        \
        {                                                                      \
          fprintf (stderr, "%s:%d: %s\n", __FILE__, __LINE__, #condition);     \
          abort ();                                                            \
        }                                                                      \
    }                                                                          \
  while (0)

#endif
