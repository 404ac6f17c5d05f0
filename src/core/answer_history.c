/* Parts of prompts that were answered lately. */
#include "answer_history.h"

struct answered_part {
	struct fingerprint fp;
	int64_t began_ms;
	GList link; /* in the order of use */
};

struct answer_history {
	size_t capacity;
	GHashTable *parts; /* struct answered_part, by its fingerprint */
	GQueue order;	   /* of the same; most recently used first */
};

struct answer_history *answer_history_new(size_t capacity)
{
	struct answer_history *h = g_new0(struct answer_history, 1);

	h->capacity = capacity;
	h->parts = g_hash_table_new_full(fingerprint_hash, fingerprint_equal,
					 NULL, g_free);
	g_queue_init(&h->order);
	return h;
}

void answer_history_free(struct answer_history *h)
{
	if (!h)
		return;
	g_hash_table_unref(h->parts);
	g_free(h);
}

static struct answered_part *add_part(struct answer_history *h,
				      const struct fingerprint *fp)
{
	struct answered_part *p = g_new0(struct answered_part, 1);
	GList *oldest = h->order.tail;

	if (h->order.length == h->capacity) {
		g_queue_unlink(&h->order, oldest);
		g_hash_table_remove(
			h->parts, &((struct answered_part *)oldest->data)->fp);
	}
	p->fp = *fp;
	p->began_ms = INT64_MIN;
	p->link.data = p;
	g_hash_table_insert(h->parts, &p->fp, p);
	return p;
}

void answer_history_add(struct answer_history *h, const struct fingerprint *fp,
			int64_t began_ms)
{
	struct answered_part *p = g_hash_table_lookup(h->parts, fp);

	if (p)
		g_queue_unlink(&h->order, &p->link);
	else
		p = add_part(h, fp);
	p->began_ms = MAX(p->began_ms, began_ms);
	g_queue_push_head_link(&h->order, &p->link);
}

int64_t answer_history_find(const struct answer_history *h,
			    const struct fingerprint *fp)
{
	const struct answered_part *p = g_hash_table_lookup(h->parts, fp);

	return p ? p->began_ms : SS_NEVER;
}

size_t answer_history_count(const struct answer_history *h)
{
	return h->order.length;
}
