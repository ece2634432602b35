/* mm_configuration: follows the operators' configuration and evacuations in
   the store and keeps the newest version in force.  */
#ifndef MM_CONFIGURATION_H
#define MM_CONFIGURATION_H

#include "mm_evacuations.h"

typedef struct mm_configuration mm_configuration;

/* @store is copied.  @evacuations: filled with the requests that are read;
   must outlive the returned object.  Free with mm_configuration_destroy().  */
mm_configuration *mm_configuration_create (const mm_store_port *store,
                                           mm_evacuations *evacuations);
void mm_configuration_destroy (mm_configuration *c);
void mm_configuration_tick (mm_configuration *c); /* reads when it is due */
/* Returns the version in force, NULL while none was read yet.  */
const mm_routes *mm_configuration_routes (const mm_configuration *c);

#endif /* MM_CONFIGURATION_H */
