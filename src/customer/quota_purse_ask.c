/* An entry's asks for allotments, and the place's words on them. */
#include "quota_purse_int.h"

/* After so long, in ms, it asks again. */
#define LOST_MS 1000
/* Where a place has less than is wanted, and nobody waits, it is asked no more
 * often, in ms. */
#define SCARCE_MS 2000

/* What would be held if there were enough. */
static double wanted(const struct purse *u, int64_t now)
{
	if (now - u->used_ms >= PURSE_IDLE_MS)
		return 0;
	return u->waiting + MAX(u->demand * PURSE_AHEAD_S, purse_low(u));
}

/* What would be held for a class beside what is. */
static double class_wants(const struct purse *u, int class)
{
	double ahead = MAX(u->shares.demand[class] * PURSE_AHEAD_S,
			   purse_class_low(u, class));

	return u->shares.waiting[class] + ahead - u->shares.part[class];
}

/* The place has none before then for any class that waits. */
static int64_t none_until(const struct purse *u)
{
	int64_t ms = INT64_MAX;

	for (int i = 0; i < QUOTA_CLASSES; i++)
		if (u->shares.waiting[i] > 0)
			ms = MIN(ms, u->classes[i].none_ms);
	return ms == INT64_MAX ? u->none_ms : ms;
}

static bool has_news(const struct purse *u, int64_t now)
{
	if (u->asked)
		return now - u->asked_ms >= LOST_MS;
	if (!u->told && (u->tokens != 0 || u->alone > 0 || now < u->rate_ms))
		return true;
	if (now < none_until(u))
		return false;
	/* Less isn't worth a message. */
	if (now - u->used_ms >= PURSE_IDLE_MS)
		return u->tokens >= 1;
	if (u->waiting > 0)
		return true;
	return now >= u->next_ms && purse_is_low(u);
}

/* What the first that waits lacks, of what there is. */
static int64_t class_lacks(const struct purse *u, int class)
{
	double has = quota_classes_available(&u->shares, class, u->tokens);

	if (u->shares.waiting[class] <= 0)
		return 0;
	return quota_milli(MAX(u->classes[class].first - MAX(has, 0), 0)) + 1;
}

/* With one class in use, the first, there is nothing to list. */
static void add_parts(struct purse *u, struct quota_ask *a)
{
	size_t n = 0;

	for (int i = 0; i < QUOTA_CLASSES; i++) {
		struct quota_part *x = &u->parts[n];

		if (!quota_classes_used(&u->shares, i))
			continue;
		*x = (struct quota_part){
			.class_id = i,
			.demand = quota_milli(u->shares.demand[i]),
			.spent = quota_milli(u->shares.spent[i]),
			.want = quota_milli(MAX(class_wants(u, i), 0)),
			.first = class_lacks(u, i)
		};
		x->want = MAX(x->want, x->first);
		n++;
	}
	if (n > 1 || (n == 1 && u->parts[0].class_id))
		a->parts = (struct wire_list){ u->parts, n };
}

/* Where one class is asked for, or the place knows none. */
static int64_t first_lacks(const struct purse *u)
{
	for (int i = 0; i < QUOTA_CLASSES; i++)
		if (u->shares.waiting[i] > 0)
			return class_lacks(u, i);
	return 0;
}

static void add_ask(struct purse *u, int64_t now, GArray *out)
{
	double want = wanted(u, now);
	struct quota_ask a = { .customer = ss_str(u->name),
			       .number = ++u->number,
			       .held = quota_milli(u->tokens),
			       .want = quota_milli(MAX(want - u->tokens, 0)),
			       .demand = quota_milli(u->demand),
			       .alone = quota_milli(u->alone),
			       .usual = quota_milli(u->mean),
			       .refused = quota_milli(u->refused) };

	if (now < u->rate_ms) {
		a.rate = quota_milli(u->rate);
		a.reserve = quota_milli(u->reserve);
	}
	/* What was spent beyond is the place's to count. */
	u->tokens = MAX(u->tokens, 0);
	quota_classes_settle(&u->shares, u->tokens);
	a.first = first_lacks(u);
	add_parts(u, &a);
	if (want <= 0 && a.held > 0) {
		a.back = a.held;
		a.held = 0;
		u->tokens = 0;
	}
	u->alone = u->refused = 0;
	if (!u->asked)
		u->silent_ms = now;
	u->told = u->asked = true;
	u->asked_ms = now;
	u->wanted = quota_whole(a.want);
	g_array_append_val(out, a);
}

/* Those that rest have nothing due by themselves. */
static void sweep(struct entry *e, int64_t now)
{
	GHashTableIter it;
	void *p;

	if (now - e->sweep_ms < PURSE_IDLE_MS / 4)
		return;
	e->sweep_ms = now;
	g_hash_table_iter_init(&it, e->purses);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct purse *u = p;

		purse_settle(u, now);
		if (now - u->used_ms > QUOTA_FORGET_MS && !u->due &&
		    !u->asked && u->tokens <= 0)
			g_hash_table_iter_remove(&it);
		else if (u->up && has_news(u, now))
			purse_make_due(e, u);
	}
}

void quota_lease_asks(void *entry, int64_t now, GArray *out)
{
	struct entry *e = entry;
	guint kept = 0;

	sweep(e, now);
	for (guint i = 0; i < e->due->len; i++) {
		struct purse *u = e->due->pdata[i];

		purse_settle(u, now);
		if (u->up && has_news(u, now))
			add_ask(u, now, out);
		/* Those who wait are asked for again when that is due. */
		u->due = u->waiting > 0;
		if (u->due)
			e->due->pdata[kept++] = u;
	}
	g_ptr_array_set_size(e->due, (gint)kept);
}

/* To classes as the place says; else by demand. */
static void take_parts(struct purse *u, const struct quota_word *w)
{
	const struct quota_part *x = w->parts.items;

	for (size_t i = 0; i < w->parts.n; i++) {
		int class = quota_classes_clamp(x[i].class_id);

		u->shares.part[class] += quota_whole(x[i].grant);
		u->classes[class].got +=
			quota_whole(x[i].grant) * 1000 / PURSE_DEMAND_MS;
	}
	for (int i = 0; i < QUOTA_CLASSES && !w->parts.n; i++)
		u->classes[i].got += quota_classes_ratio(&u->shares, i) *
				     quota_whole(w->grant) * 1000 /
				     PURSE_DEMAND_MS;
}

static void wait_parts(struct purse *u, const struct quota_word *w, int64_t now)
{
	const struct quota_part *x = w->parts.items;

	purse_clear_waits(u);
	if (w->wait_ms > 0)
		u->none_ms = now + w->wait_ms;
	for (size_t i = 0; i < w->parts.n; i++)
		if (x[i].wait_ms > 0)
			u->classes[quota_classes_clamp(x[i].class_id)].none_ms =
				now + x[i].wait_ms;
	for (int i = 0; i < QUOTA_CLASSES && !w->parts.n; i++)
		u->classes[i].none_ms = u->none_ms;
}

void quota_lease_word(void *entry, const struct quota_word *w, int64_t now)
{
	struct entry *e = entry;
	char *name = ss_str_dup(w->customer);
	struct purse *u = g_hash_table_lookup(e->purses, name);

	g_free(name);
	if (!u)
		return;
	purse_settle(u, now);
	u->tokens += quota_whole(w->grant);
	take_parts(u, w);
	if (w->number != u->number)
		return;
	pace_add(&e->answers, (double)(now - u->asked_ms));
	u->asked = false;
	u->until_ms = u->asked_ms + QUOTA_LEASE_MS;
	u->rate = quota_whole(w->rate);
	u->reserve = quota_whole(w->reserve);
	u->rate_ms = u->asked_ms + QUOTA_LEASE_MS;
	wait_parts(u, w, now);
	u->next_ms = quota_whole(w->grant) < u->wanted ? now + SCARCE_MS : 0;
	u->alone_ms = now;
	if (u->waiting > 0)
		purse_make_due(e, u);
}
