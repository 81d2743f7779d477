/* Ownership by the order of the log.
 *
 * A claim names the claim it follows.  The first claim in the stream that names
 * the one in force wins; a second one, from a race, names a predecessor that is
 * no longer in force and is void.  Every reader comes to the same result
 * without a vote, and because the claim stands in the very stream that it
 * governs, a record that the old owner appends behind it is void for all.
 *
 * The epoch is the offset of the claim (plus one, so that 0 means none), moved
 * left by FB_EPOCH_SUB_BITS; the low bits count hand-overs that did not need
 * the log.  A claim ends the whole family.
 *
 * A reader that starts where the log has already dropped records does not know
 * the claim in force.  It skips what it cannot judge until a RENEW anchors it:
 * only an owner writes those, in every third of the retention time.  An owner
 * that was replaced may write one late, so a RENEW counts only if its writer had
 * read up to where this reader began, and past any claim that this reader met.
 * A claim met before that is taken for the time being, if its writer had read as
 * far too: a second copy of an old claim (its answer was lost) had not.  If it
 * lost its race it does no harm, since a claimant that lost writes nothing under
 * it.
 *
 * Where nothing is left to anchor on, a claim names the offset at which its
 * writer began to read.  A reader who remembers the whole stream takes it exactly
 * when a reader who began there had nothing to go by: no claim and no RENEW whose
 * writer had read as far. */
#include "internal/stream.h"

#include <string.h>

struct _FbStream
{
  uint32_t shard;
  uint64_t next;
  uint64_t epoch;
  uint64_t first; /* where reading began, or began again */
  uint64_t anchor;
  uint64_t last_claim;    /* offset of the claim taken last */
  uint64_t claim_read_to; /* and what its writer had read up to */
  uint64_t renewed_to;    /* what the last RENEW in force had read up to */
  gboolean gap;
  gboolean anchored;    /* the chain of claims is known */
  GHashTable *last_seq; /* writer -> last sequence number */
};

uint64_t
fb_epoch_of_claim (uint64_t offset)
{
  return (offset + 1) << FB_EPOCH_SUB_BITS;
}

gboolean
fb_epoch_same_claim (uint64_t a, uint64_t b)
{
  return (a >> FB_EPOCH_SUB_BITS) == (b >> FB_EPOCH_SUB_BITS);
}

FbStream *
fb_stream_new (uint32_t shard)
{
  FbStream *self = g_new0 (FbStream, 1);
  self->shard = shard;
  self->anchored = TRUE;
  self->last_seq = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  return self;
}

void
fb_stream_free (FbStream *self)
{
  g_hash_table_destroy (self->last_seq);
  g_free (self);
}

/* Failure: the answer to an append is lost, the writer appends again, and the
 * record stands twice.  It would show as a job admitted or ended twice.  Guard:
 * a writer numbers its records, and only the first of a number counts. */
static gboolean
is_double (FbStream *self, const fb_record *record)
{
  uint64_t *last = g_hash_table_lookup (self->last_seq, &record->writer);
  if (last != NULL && record->seq <= *last)
    return TRUE;
  g_hash_table_replace (self->last_seq, g_memdup2 (&record->writer, sizeof record->writer),
                        g_memdup2 (&record->seq, sizeof record->seq));
  return FALSE;
}

static FbStreamResult
judge_claim (FbStream *self, uint64_t offset, const fb_rec_claim *claim)
{
  if (claim->shard != self->shard)
    return FB_STREAM_SUPERSEDED;
  gboolean follows = (claim->previous >> FB_EPOCH_SUB_BITS) == (self->epoch >> FB_EPOCH_SUB_BITS);
  gboolean nothing_known = self->epoch == 0 && !self->anchored;
  gboolean first_after_gap = nothing_known && claim->read_to >= self->first;
  gboolean outlived = !nothing_known && claim->previous == 0 && claim->first > self->renewed_to
                      && claim->first > self->claim_read_to;
  if ((!follows || nothing_known) && !first_after_gap && !outlived)
    return FB_STREAM_SUPERSEDED;
  self->epoch = fb_epoch_of_claim (offset);
  self->last_claim = offset;
  self->claim_read_to = claim->read_to;
  return FB_STREAM_CLAIMED;
}

static FbStreamResult
judge_renew (FbStream *self, uint64_t offset, const fb_record *record)
{
  uint64_t read_to = record->body.fb_rec_body_u.renew.read_to;
  gboolean knows_more = read_to >= self->first && read_to > self->last_claim;
  if (!self->anchored && knows_more)
    {
      gboolean same = fb_epoch_same_claim (record->epoch, self->epoch);
      self->epoch = MAX (record->epoch, same ? self->epoch : 0);
      self->anchored = TRUE;
      self->renewed_to = read_to;
      self->anchor = offset;
      return same ? FB_STREAM_OK : FB_STREAM_CLAIMED;
    }
  if (!fb_epoch_same_claim (record->epoch, self->epoch) || record->epoch < self->epoch)
    return FB_STREAM_SUPERSEDED;
  self->epoch = record->epoch;
  self->renewed_to = MAX (self->renewed_to, read_to);
  return FB_STREAM_OK;
}

static FbStreamResult
judge (FbStream *self, uint64_t offset, const fb_record *record)
{
  if (is_double (self, record))
    return FB_STREAM_DUPLICATE;
  if (record->body.type == FB_REC_CLAIM)
    return judge_claim (self, offset, &record->body.fb_rec_body_u.claim);
  if (record->body.type == FB_REC_RENEW)
    return judge_renew (self, offset, record);
  if (!fb_epoch_same_claim (record->epoch, self->epoch) || record->epoch < self->epoch)
    return FB_STREAM_SUPERSEDED;
  self->epoch = record->epoch;
  return FB_STREAM_OK;
}

FbStreamResult
fb_stream_read (FbStream *self, uint64_t offset, const void *data, gsize len, fb_record *record)
{
  if (offset < self->next)
    return FB_STREAM_OLD;
  self->next = offset + 1;
  if (!fb_codec_decode_record (data, len, record))
    return FB_STREAM_MALFORMED;
  FbStreamResult verdict = judge (self, offset, record);
  if (verdict != FB_STREAM_OK && verdict != FB_STREAM_CLAIMED)
    fb_codec_clear_record (record);
  return verdict;
}

void
fb_stream_note_first_retained (FbStream *self, uint64_t first)
{
  if (first <= self->next)
    return;
  self->next = first;
  self->first = first;
  self->anchor = G_MAXUINT64;
  self->gap = TRUE;
  self->anchored = FALSE;
}

uint64_t
fb_stream_next (const FbStream *self)
{
  return self->next;
}

uint64_t
fb_stream_epoch (const FbStream *self)
{
  return self->epoch;
}

gboolean
fb_stream_has_gap (const FbStream *self, uint64_t *first)
{
  *first = self->first;
  return self->gap;
}

uint64_t
fb_stream_validated_from (const FbStream *self)
{
  return self->anchor;
}
