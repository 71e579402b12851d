#ifndef BASE_JSON_PARTS_H
#define BASE_JSON_PARTS_H

#include <jansson.h>
#include <stddef.h>

/*
 * Loads a JSON document of which some parts cannot be read, as when a store
 * passes on what another program wrote: a number out of range, deep nesting,
 * text that is not UTF-8.  Each array or object that cannot be read as a whole
 * is split, down to depth levels, and its parts are read on their own; null
 * stands for one that cannot be read.  A member named whole is not split, so
 * that it is complete or null; members whose names cannot be read are left out.
 *
 * The strings and brackets of a part may not match, as in text that was cut
 * off.  In an array of objects that begin with the same member, such an object
 * ends where the next one begins: its member named whole is null, the members
 * around it are kept, and it is null if it has none.  So is an outermost object
 * that has the member whole itself.
 *
 * Returns NULL if the text is not a value, or if strings and brackets do not
 * match anywhere else.
 */
json_t *json_load_parts (const char *data,
                         size_t size,
                         const char *whole,
                         unsigned depth);

#endif
