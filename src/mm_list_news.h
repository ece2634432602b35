/* mm_list_news: what one instance tells another of the upstream list.

   A msgpack array: [turn, from, to, age_ms, [change, ...]]; a change is
   [name] for an upstream that is not listed any more, or
   [name, addr, service, datacentre, [label, ...], cpu_milli, mem_mb, gpus,
    slots, draining].  */
#ifndef MM_LIST_NEWS_H
#define MM_LIST_NEWS_H

#include "mm_list_log.h"

#include <msgpack.h>

typedef struct
{
  uint64_t turn;     /* how often the list was read for all */
  uint64_t from;     /* of use to whoever knows the list up to here ... */
  uint64_t to;       /* and brings it up to here */
  mm_time_ms age_ms; /* since the read of it was sent to the store */
  const mm_list_change *changes;
  size_t n_changes;
  GArray *owned; /* of a message that was read: the changes */
} mm_list_news;

void mm_list_news_pack (const mm_list_news *n, msgpack_sbuffer *out);
/* False for what is no such message; clear it in any case.  */
bool mm_list_news_read (const void *data, size_t len, mm_list_news *out);
void mm_list_news_clear (mm_list_news *n);

#endif /* MM_LIST_NEWS_H */
