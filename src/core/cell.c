#include "fb-cell.h"

#include <string.h>

static void
member_free (gpointer data)
{
  FbCellMember *member = data;
  g_free (member->name);
  g_free (member->host);
  g_free (member);
}

static void
host_free (gpointer data)
{
  FbCellHost *host = data;
  g_free (host->name);
  g_free (host->address);
  g_free (host);
}

static void
rack_free (gpointer data)
{
  FbCellRack *rack = data;
  g_free (rack->name);
  g_ptr_array_free (rack->hosts, TRUE);
  g_free (rack);
}

FbCell *
fb_cell_new (void)
{
  FbCell *self = g_new0 (FbCell, 1);
  self->members = g_ptr_array_new_with_free_func (member_free);
  self->racks = g_ptr_array_new_with_free_func (rack_free);
  self->range_n = FB_PARTNER_N;
  return self;
}

void
fb_cell_free (FbCell *self)
{
  for (guint i = 0; i < FB_PARTNER_N; i++)
    g_free (self->partners[i].name);
  g_ptr_array_free (self->members, TRUE);
  g_ptr_array_free (self->racks, TRUE);
  g_free (self->log_url);
  g_free (self->host_list_url);
  g_free (self->peer_key);
  g_free (self);
}

FbCellMember *
fb_cell_add_member (FbCell *self, const char *name, uint32_t partner, uint32_t domain)
{
  FbCellMember *member = g_new0 (FbCellMember, 1);
  member->name = g_strdup (name);
  member->partner = partner;
  member->domain = domain;
  g_ptr_array_add (self->members, member);
  return member;
}

FbCellRack *
fb_cell_add_rack (FbCell *self, const char *name, uint32_t partner, uint32_t domain,
                  const fb_res *host_capacity)
{
  FbCellRack *rack = g_new0 (FbCellRack, 1);
  rack->name = g_strdup (name);
  rack->partner = partner;
  rack->domain = domain;
  rack->host_capacity = *host_capacity;
  rack->hosts = g_ptr_array_new_with_free_func (host_free);
  g_ptr_array_add (self->racks, rack);
  return rack;
}

void
fb_cell_add_host (FbCellRack *rack, const char *name, const char *address)
{
  FbCellHost *host = g_new0 (FbCellHost, 1);
  host->name = g_strdup (name);
  host->address = g_strdup (address);
  g_ptr_array_add (rack->hosts, host);
}

static gboolean
same_member (const FbCellMember *a, const FbCellMember *b)
{
  return g_str_equal (a->name, b->name) && g_str_equal (a->host, b->host)
         && a->partner == b->partner && a->domain == b->domain && a->rpc_port == b->rpc_port
         && a->http_port == b->http_port;
}

static gboolean
same_rack (const FbCellRack *a, const FbCellRack *b)
{
  if (!g_str_equal (a->name, b->name) || a->partner != b->partner || a->domain != b->domain
      || memcmp (&a->host_capacity, &b->host_capacity, sizeof a->host_capacity) != 0
      || a->hosts->len != b->hosts->len)
    return FALSE;
  for (guint i = 0; i < a->hosts->len; i++)
    {
      const FbCellHost *x = g_ptr_array_index (a->hosts, i);
      const FbCellHost *y = g_ptr_array_index (b->hosts, i);
      if (!g_str_equal (x->name, y->name) || !g_str_equal (x->address, y->address))
        return FALSE;
    }
  return TRUE;
}

static gboolean
same_cell_settings (const FbCell *a, const FbCell *b)
{
  for (guint p = 0; p < FB_PARTNER_N; p++)
    {
      if (!g_str_equal (a->partners[p].name, b->partners[p].name)
          || memcmp (a->partners[p].public_key, b->partners[p].public_key, FB_SIGN_PUBLIC_BYTES)
                 != 0)
        return FALSE;
    }
  return g_str_equal (a->log_url, b->log_url) && g_str_equal (a->host_list_url, b->host_list_url)
         && g_str_equal (a->peer_key, b->peer_key) && a->range_n == b->range_n
         && a->retention_ms == b->retention_ms;
}

gboolean
fb_cell_equal (const FbCell *a, const FbCell *b)
{
  gboolean same = same_cell_settings (a, b) && a->members->len == b->members->len
                  && a->racks->len == b->racks->len;
  for (guint i = 0; same && i < a->members->len; i++)
    same = same_member (fb_cell_member (a, i), fb_cell_member (b, i));
  for (guint i = 0; same && i < a->racks->len; i++)
    same = same_rack (fb_cell_rack (a, i), fb_cell_rack (b, i));
  return same;
}

guint
fb_cell_shard_count (const FbCell *self)
{
  return self->racks->len + self->range_n;
}

gboolean
fb_cell_is_rack (const FbCell *self, uint32_t shard)
{
  return shard < self->racks->len;
}

uint32_t
fb_cell_shard_partner (const FbCell *self, uint32_t shard)
{
  if (fb_cell_is_rack (self, shard))
    return fb_cell_rack (self, shard)->partner;
  return (shard - self->racks->len) % FB_PARTNER_N;
}

uint32_t
fb_cell_range_of_job (const FbCell *self, uint32_t partner, uint64_t job)
{
  uint32_t per_partner = self->range_n / FB_PARTNER_N;
  return self->racks->len + (uint32_t) (job % per_partner) * FB_PARTNER_N + partner;
}

fb_res
fb_cell_quota_slice (const FbCell *self, const FbCellRack *rack, const fb_res *quota)
{
  fb_res slice = { { 0 } };
  for (guint r = 0; r < FB_RES_N; r++)
    {
      uint64_t all = 0;
      for (guint i = 0; i < self->racks->len; i++)
        {
          const FbCellRack *other = fb_cell_rack (self, i);
          if (other->partner == rack->partner)
            all += other->host_capacity.amount[r] * other->hosts->len;
        }
      uint64_t here = rack->host_capacity.amount[r] * rack->hosts->len;
      if (all > 0)
        slice.amount[r] = (uint64_t) ((double) quota->amount[r] * (double) here / (double) all);
      if (quota->amount[r] > 0 && slice.amount[r] == 0)
        slice.amount[r] = 1; /* 0 would mean no limit */
    }
  return slice;
}

int
fb_cell_partner_by_name (const FbCell *self, const char *name)
{
  for (int i = 0; i < FB_PARTNER_N; i++)
    {
      if (g_strcmp0 (self->partners[i].name, name) == 0)
        return i;
    }
  return -1;
}

FbCellMember *
fb_cell_member (const FbCell *self, guint index)
{
  return g_ptr_array_index (self->members, index);
}

FbCellRack *
fb_cell_rack (const FbCell *self, guint index)
{
  return g_ptr_array_index (self->racks, index);
}

int
fb_cell_member_by_name (const FbCell *self, const char *name)
{
  for (guint i = 0; i < self->members->len; i++)
    {
      if (g_str_equal (fb_cell_member (self, i)->name, name))
        return (int) i;
    }
  return -1;
}
