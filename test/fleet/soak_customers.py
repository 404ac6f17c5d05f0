"""Customers of a soak, their keys and limits."""
# The last one's limit is below what it sends; the others have none.
CUSTOMERS = ("north", "south", "meter")
METER_PER_S = 60                     # tokens: some 400 a second are asked for
DEFAULT_TOKENS = 20                     # of a request that tells none
# For some seconds its callers ask for several times its limit.
SURGE = "surge"
SURGE_PER_S = 150
LIMITS = {CUSTOMERS[-1]: METER_PER_S, SURGE: SURGE_PER_S}  # tokens a second


def key(name):
    return "key-of-" + name


def customer_of(rid):
    """Of a caller's request; the same at each run of a seed."""
    if rid.startswith("u"):
        return SURGE
    n = int(rid[1:])
    return CUSTOMERS[2] if n % 5 == 4 else CUSTOMERS[n % 2]


def bearer(name):
    return {"Authorization": "Bearer " + key(name)}


def routing_customers(surge=False):
    """As a routing lists them."""
    names = [*CUSTOMERS, SURGE] if surge else CUSTOMERS
    out = [{"name": n, "keys": [key(n)]} for n in names]
    for c in out:
        if c["name"] in LIMITS:
            per_s = LIMITS[c["name"]]
            c.update(unit="token", ratePerS=per_s, burst=per_s,
                     rawTokens=DEFAULT_TOKENS)
    return out


def cost(request):
    return 10 + request.n_events if request.model else DEFAULT_TOKENS
