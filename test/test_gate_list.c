/* A gate without a leader, which reads the list of endpoints itself. */
#include "gate_fix.h"

static void add_instance(struct fix *f, struct fleet_list *l, int i,
			 const char *service)
{
	struct fleet_instance x = { .id = g_strdup(f->eps[i].id),
				    .service = g_strdup(service),
				    .addr = g_strdup(f->eps[i].addr),
				    .domain = g_strdup("here"),
				    .slots = 8,
				    .models = g_ptr_array_new_with_free_func(
					    g_free) };

	g_array_append_val(l->instances, x);
}

/* How an endpoint appears in the list. */
enum shape {
	READ,		 /* its entry is readable */
	DRAINING,	 /* readable, and states that it drains */
	MISSING,	 /* no entry */
	BY_ID,		 /* entry unreadable except for its id */
	BY_ADDR,	 /* entry unreadable except for its address */
	UNREADABLE,	 /* entry unreadable as a whole */
	INCOMPLETE,	 /* no entry, and pages of the list are missing */
	UNKNOWN_SERVICE, /* its service isn't in the routing */
	SECOND_UNKNOWN,	 /* the service of a second entry isn't */
};

static void add_shape(struct fix *f, struct fleet_list *l, int i,
		      enum shape shape)
{
	const char *id = shape == BY_ID ? f->eps[i].id : NULL;
	const char *addr = shape == BY_ADDR ? f->eps[i].addr : NULL;

	switch (shape) {
	case READ:
	case SECOND_UNKNOWN:
		add_instance(f, l, i, "web");
		if (shape == SECOND_UNKNOWN)
			add_instance(f, l, i, "who");
		break;
	case DRAINING:
		add_instance(f, l, i, "web");
		g_array_index(l->instances, struct fleet_instance,
			      l->instances->len - 1)
			.draining = true;
		break;
	case UNKNOWN_SERVICE:
		add_instance(f, l, i, "who");
		break;
	case BY_ID:
	case BY_ADDR:
	case UNREADABLE:
		fleet_list_add_unreadable(l, g_strdup(id), g_strdup(addr),
					  g_strdup("x"));
		break;
	case INCOMPLETE:
		l->complete = false;
		break;
	case MISSING:
		break;
	}
}

/* Reads a list in which endpoint i has a shape and the other is readable. */
static void read_list(struct fix *f, int i, enum shape shape)
{
	struct fleet_list l;

	fleet_list_init(&l);
	add_shape(f, &l, i, shape);
	add_instance(f, &l, !i, "web");
	gate_list_received(f->gate, &l);
	fleet_list_clear(&l);
}

struct list_case {
	const char *label;
	enum shape shape;
	bool gets_calls;       /* gets new calls */
	bool keeps_connection; /* its idle connection stays open */
};

static const struct list_case list_cases[] = {
	{ "its entry is readable", READ, true, true },
	{ "it drains", DRAINING, false, true },
	{ "it is gone", MISSING, false, false },
	{ "its entry is unreadable except for its id", BY_ID, false, true },
	{ "its entry is unreadable except for its address", BY_ADDR, false,
	  true },
	{ "an entry is unreadable as a whole", UNREADABLE, false, true },
	{ "the list is incomplete", INCOMPLETE, true, true },
	{ "its service isn't in the routing", UNKNOWN_SERVICE, false, true },
	{ "a second entry's service isn't in the routing", SECOND_UNKNOWN, true,
	  true },
};

/* Makes calls one after the other; returns how many an endpoint got. */
static int calls_to(struct fix *f, int i)
{
	int before = f->eps[i].requests;

	for (int k = 0; k < 3; k++) {
		struct caller *c = call(f, GET_SAFE);

		UNTIL(f, received_ends_with(c, "hello"));
	}
	return f->eps[i].requests - before;
}

/* Opens a gate that reads the list. Returns the endpoint that it prefers: by a
 * hash of the address, whose port differs each time. */
static int open_listed(struct fix *f)
{
	fix_open(f, NULL, NULL);
	script_answer(f, 0, OK_TEXT, false, false);
	script_answer(f, 1, OK_TEXT, false, false);
	read_list(f, 0, READ);
	return calls_to(f, 0) ? 0 : 1;
}

/*
 * Without a leader the gate reads the list itself. If an endpoint with a
 * corrupt entry counted as gone, its working connections would be closed; if it
 * counted as ready, calls would go to an unconfirmed address.
 */
static void check_shape(const struct list_case *c)
{
	struct fix f;
	int i = open_listed(&f);
	const struct endpoint *e = &f.eps[i];
	int n;

	read_list(&f, i, c->shape);
	UNTIL(&f, c->keeps_connection || e->closed == e->opened);
	n = calls_to(&f, i);
	if ((n > 0) != c->gets_calls)
		fail_msg("%s: %d calls", c->label, n);
	if (c->keeps_connection && e->closed)
		fail_msg("%s: its connections were closed", c->label);
	/* The entry is readable again. */
	read_list(&f, i, READ);
	if (!calls_to(&f, i))
		fail_msg("%s: it gets no calls afterwards", c->label);
	fix_close(&f);
}

static void corrupt_entries_stop_new_calls(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(list_cases); i++)
		check_shape(&list_cases[i]);
}

/*
 * A caller would get half an answer if its call were abandoned when the
 * endpoint's entry in the list becomes unreadable.
 */
static void open_calls_survive_corrupt_entries(void **state)
{
	struct fix f;
	struct caller *c;
	int i;

	(void)state;
	fix_open(&f, NULL, NULL);
	script_answer(&f, 0, NULL, false, false);
	script_answer(&f, 1, NULL, false, false);
	read_list(&f, 0, READ);
	c = call(&f, GET_SAFE);
	UNTIL(&f, f.eps[0].requests + f.eps[1].requests == 1);
	i = f.eps[0].requests ? 0 : 1;
	for (enum shape s = BY_ID; s <= UNKNOWN_SERVICE; s++) {
		read_list(&f, i, s);
		run_loop_once(&f);
	}
	assert_int_equal(f.eps[i].closed, 0);
	assert_false(c->ended);
	assert_true(gate_busy(f.gate) > 0);
	fix_close(&f);
}

/* Endpoints of a service that isn't in the routing get no calls. */
static void unknown_services_get_no_calls(void **state)
{
	struct fix f;

	(void)state;
	for (int i = 0; i < ENDPOINTS; i++) {
		fix_open(&f, NULL, NULL);
		script_answer(&f, 0, OK_TEXT, false, false);
		script_answer(&f, 1, OK_TEXT, false, false);
		read_list(&f, i, UNKNOWN_SERVICE);
		assert_int_equal(calls_to(&f, i), 0);
		/* The entry is corrected. */
		read_list(&f, i, READ);
		read_list(&f, !i, MISSING);
		assert_true(calls_to(&f, i) > 0);
		fix_close(&f);
	}
}

/* An unreadable entry without id and address keeps endpoints listed only for a
 * limited time. */
static void long_unreadable_is_gone(void **state)
{
	struct fix f;
	int i = open_listed(&f);

	(void)state;
	read_list(&f, i, UNREADABLE);
	f.clock.fake_ms += FLEET_UNREADABLE_GRACE_MS - 1;
	read_list(&f, i, UNREADABLE);
	run_loop_once(&f);
	assert_int_equal(f.eps[i].closed, 0);
	f.clock.fake_ms += 1;
	read_list(&f, i, UNREADABLE);
	UNTIL(&f, f.eps[i].closed == f.eps[i].opened);
	fix_close(&f);
}

/*
 * An entry that starts without a leader would refuse callers although endpoints
 * are ready if it waited for a complete list while each reading lacks a page.
 */
static void incomplete_list_is_used(void **state)
{
	struct fix f;
	struct caller *c;

	(void)state;
	fix_open(&f, NULL, NULL);
	script_answer(&f, 1, OK_TEXT, false, false);
	assert_false(gate_knows_fleet(f.gate));
	read_list(&f, 0, INCOMPLETE);
	assert_true(gate_knows_fleet(f.gate));
	c = call(&f, GET_SAFE);
	UNTIL(&f, received_ends_with(c, "hello"));
	fix_close(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(corrupt_entries_stop_new_calls),
		cmocka_unit_test(open_calls_survive_corrupt_entries),
		cmocka_unit_test(unknown_services_get_no_calls),
		cmocka_unit_test(long_unreadable_is_gone),
		cmocka_unit_test(incomplete_list_is_used),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
