/* The table of customers: look-up by name and key, and detection of
 * conflicts. */
#include "unit.h"

#include "../src/customer/customer.h"

static struct customer *customer(const char *name, const char *const *keys)
{
	struct customer *c = customer_new();

	c->name = g_strdup(name);
	for (; *keys; keys++)
		customer_add_key(c, ss_str(*keys));
	return c;
}

#define KEYS(...) ((const char *const[]){ __VA_ARGS__, NULL })
#define NO_KEYS ((const char *const[]){ NULL })

static void keys_identify_customers(void **state)
{
	static const struct {
		const char *key, *name; /* NULL: no customer */
	} rows[] = {
		{ "k1", "a" }, { "k2", "a" },	{ "k3", "b" }, { "K1", NULL },
		{ "k", NULL }, { "k1 ", NULL }, { "", NULL },  { "a", NULL },
	};
	struct customers t;

	(void)state;
	customers_init(&t);
	customers_add(&t, customer("a", KEYS("k1", "k2")));
	customers_add(&t, customer("b", KEYS("k3")));
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct customer *c = customers_find(&t, ss_str(rows[i].key));

		if (g_strcmp0(c ? c->name : NULL, rows[i].name))
			fail_msg("key \"%s\"", rows[i].key);
	}
	customers_clear(&t);
}

/* Guards against plain keys in a process's memory or core dump. */
static void keys_are_stored_as_digests(void **state)
{
	struct customer *c = customer("a", KEYS("a-very-secret-key"));

	(void)state;
	assert_int_equal(c->keys->len, 1);
	assert_null(g_strstr_len(c->keys->data, sizeof(struct customer_key),
				 "secret"));
	customer_unref(c);
}

struct row {
	const char *name, *keys[3];
};

static const struct {
	const char *label;
	struct row added[2];
	enum customers_conflict conflict;
	guint at;
	const char *other;
} changes[] = {
	{ "a new customer",
	  { { "c", { "k9" } } },
	  CUSTOMERS_NO_CONFLICT,
	  0,
	  NULL },
	{ "a new customer without keys",
	  { { "c", { NULL } } },
	  CUSTOMERS_NO_CONFLICT,
	  0,
	  NULL },
	{ "the key of a customer that stays",
	  { { "c", { "k9", "k1" } } },
	  CUSTOMERS_KEY,
	  0,
	  "a" },
	{ "the key of a removed customer",
	  { { "c", { "k2" } } },
	  CUSTOMERS_NO_CONFLICT,
	  0,
	  NULL },
	{ "a key moves between two changed customers",
	  { { "b", { NULL } }, { "c", { "k2" } } },
	  CUSTOMERS_NO_CONFLICT,
	  0,
	  NULL },
	{ "two new customers with one key",
	  { { "c", { "k8" } }, { "d", { "k8" } } },
	  CUSTOMERS_KEY,
	  1,
	  "c" },
	{ "a customer that lists a key twice",
	  { { "c", { "k8", "k8" } } },
	  CUSTOMERS_NO_CONFLICT,
	  0,
	  NULL },
	{ "the name of a customer that stays",
	  { { "a", { "k9" } } },
	  CUSTOMERS_NAME,
	  0,
	  "a" },
	{ "the name of a removed customer",
	  { { "b", { "k9" } } },
	  CUSTOMERS_NO_CONFLICT,
	  0,
	  NULL },
	{ "two new customers with one name",
	  { { "c", { "k8" } }, { "c", { "k9" } } },
	  CUSTOMERS_NAME,
	  1,
	  "c" },
};

static void conflicts_are_detected(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(changes); i++) {
		GPtrArray *added = g_ptr_array_new_with_free_func(
			(GDestroyNotify)customer_unref);
		struct customer *b = customer("b", KEYS("k2"));
		const struct customer *other;
		enum customers_conflict conflict;
		struct customers t;
		guint at;

		customers_init(&t);
		customers_add(&t, customer("a", KEYS("k1")));
		customers_add(&t, b);
		b->removing = true;
		for (int k = 0; k < 2 && changes[i].added[k].name; k++)
			g_ptr_array_add(added,
					customer(changes[i].added[k].name,
						 changes[i].added[k].keys));
		conflict = customers_check(&t, added, &at, &other);
		if (conflict != changes[i].conflict ||
		    (conflict && (at != changes[i].at ||
				  strcmp(other->name, changes[i].other))))
			fail_msg("%s: %d at %u", changes[i].label, conflict,
				 at);
		g_ptr_array_unref(added);
		customers_clear(&t);
	}
}

/* Guards against a removal that also removes another customer's key, or leaves
 * one of the removed customer. */
static void removed_keys_identify_no_customer(void **state)
{
	struct customer *a = customer("a", KEYS("k1"));
	struct customers t;

	(void)state;
	customers_init(&t);
	customers_add(&t, a);
	customers_add(&t, customer("b", KEYS("k2")));
	customer_ref(a);
	customers_remove(&t, a);
	assert_null(customers_find(&t, SS_LIT("k1")));
	assert_null(customers_named(&t, "a"));
	assert_non_null(customers_find(&t, SS_LIT("k2")));
	customers_add(&t, customer("a", NO_KEYS));
	assert_null(customers_find(&t, SS_LIT("k1")));
	/* A request with a reference may still use it. */
	assert_string_equal(a->name, "a");
	customer_unref(a);
	customers_clear(&t);
}

static void cost_follows_stated_tokens(void **state)
{
	struct customer *c = customer("a", NO_KEYS);

	(void)state;
	assert_true(customer_cost(c, 500) == 1);
	c->limit.tokens = true;
	c->limit.default_tokens = 200;
	assert_true(customer_cost(c, 500) == 500);
	assert_true(customer_cost(c, 0) == 200);
	customer_unref(c);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(keys_identify_customers),
		cmocka_unit_test(keys_are_stored_as_digests),
		cmocka_unit_test(conflicts_are_detected),
		cmocka_unit_test(removed_keys_identify_no_customer),
		cmocka_unit_test(cost_follows_stated_tokens),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
