/* The services to which each queue has been directed, now or by earlier configurations.
 *
 * A job is stored with the service of its queue and stays there when the operator directs the queue
 * to another service.  The store therefore lists each pair of a queue and a service, in one order
 * for all daemons, before the owner of the service's pool runs a job of the queue.  The order
 * decides between pools that have the same job: see owner-claims.c. */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef struct _FbEntryDaemon FbEntryDaemon;
typedef struct _FbQueueDirectory FbQueueDirectory;

typedef struct
{
  char *service;
  uint64_t offset; /* of its record */
} FbQueueService;

FbQueueDirectory *fb_queue_directory_new (FbEntryDaemon *entry);
void fb_queue_directory_free (FbQueueDirectory *self);
/* Returns: TRUE when the directory has been read once. */
gboolean fb_queue_directory_is_known (const FbQueueDirectory *self);
/* Returns: (nullable): the services of QUEUE, of FbQueueService, in the order of their records;
 * borrowed until the main loop runs. */
const GPtrArray *fb_queue_directory_services (const FbQueueDirectory *self, const char *queue);
/* Returns: how many services of QUEUE are listed before SERVICE; -1 when SERVICE is not listed, or
 * not known to be. */
int fb_queue_directory_position (const FbQueueDirectory *self, const char *queue,
                                 const char *service);
/* Has SERVICE listed for QUEUE if it is not; the owners of this daemon are ticked once it is. */
void fb_queue_directory_add (FbQueueDirectory *self, const char *queue, const char *service);
/* Returns: (transfer container): the names of all services that are listed, borrowed. */
GPtrArray *fb_queue_directory_all_services (const FbQueueDirectory *self);
/* Returns: (transfer full): the names of the services that share a queue with SERVICE, a set of
 * char *. */
GHashTable *fb_queue_directory_sharing (const FbQueueDirectory *self, const char *service);
