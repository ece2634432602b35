/* mm_returns: the owners that returned a task unstarted.

   Counted for as long as the task waits, that is, until one of its runs has
   ended.  */
#ifndef MM_RETURNS_H
#define MM_RETURNS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct mm_returns mm_returns;

/* Counts a return by @owner, NULL for this instance.  Creates *@returns if it
   is NULL.  Returns how often this owner has returned the task by now.  */
uint32_t mm_returns_add (mm_returns **returns, const char *owner);
/* Returns how often @owner has returned the task; @returns may be NULL.  */
uint32_t mm_returns_count (const mm_returns *returns, const char *owner);
/* Returns whether the last return was by @owner; @returns may be NULL.  */
bool mm_returns_last_by (const mm_returns *returns, const char *owner);
/* Frees *@returns and sets it to NULL.  */
void mm_returns_clear (mm_returns **returns);

#endif /* MM_RETURNS_H */
