"""Customers of the soak, their keys and limits."""
# Only the last of these has a limit, which is below the load that it sends.
CUSTOMERS = ("north", "south", "meter")
METER_PER_S = 60         # tokens; the demand is about 400 a second
DEFAULT_TOKENS = 20      # cost of a request that states no token usage
# This customer sends several times its limit for some seconds.
SURGE = "surge"
SURGE_PER_S = 150        # tokens
LIMITS = {CUSTOMERS[-1]: METER_PER_S, SURGE: SURGE_PER_S}  # tokens a second


def key(name):
    return "key-of-" + name


def customer_of(rid):
    """Returns the customer of a request id; the same in each run of a seed."""
    if rid.startswith("u"):
        return SURGE
    n = int(rid[1:])
    return CUSTOMERS[2] if n % 5 == 4 else CUSTOMERS[n % 2]


def bearer(name):
    return {"Authorization": "Bearer " + key(name)}


def routing_customers(surge=False):
    """Returns the customers as they are written in a routing."""
    names = [*CUSTOMERS, SURGE] if surge else CUSTOMERS
    out = [{"name": n, "keys": [key(n)]} for n in names]
    for c in out:
        if c["name"] in LIMITS:
            per_s = LIMITS[c["name"]]
            c.update(unit="token", ratePerS=per_s, burst=per_s,
                     rawTokens=DEFAULT_TOKENS)
    return out


def cost(request):
    """Returns the tokens that the request is charged."""
    return 10 + request.n_events if request.model else DEFAULT_TOKENS
