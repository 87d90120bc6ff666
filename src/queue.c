#include "queue.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* With a lower weight an organisation or class would need too many rounds for one turn. */
#define CHILD_WEIGHT_MIN 0.01

/*
 * Node of the tree of one service. Its levels are band (urgent or not), organisation and class.
 * Nodes on the first two levels choose among their children by deficit round robin; the nodes of
 * classes hold the items. Empty nodes are kept: the configuration bounds their number.
 */
struct queue_flow {
	char *name;
	struct queue_flow *parent;
	struct service_queue *service_queue;
	double weight;
	double deficit;
	size_t waiting;	     /* items waiting in the subtree */
	GPtrArray *children; /* NULL for nodes of classes, which hold items */
	guint turn;	     /* index of the child that is served next */
	struct queue_item *head;
	struct queue_item *tail;
};

struct service_queue {
	char *service;
	struct queue_flow *bands[2];	/* 0: not urgent, 1: urgent */
	unsigned int non_urgent_credit; /* percent of a turn that the non-urgent band is due */
};

struct queue {
	GHashTable *services;
	size_t waiting;
	uint32_t total;
};

static int queue_destructor(struct queue *queue)
{
	g_hash_table_destroy(queue->services);
	return 0;
}

struct queue *queue_create(TALLOC_CTX *mem)
{
	struct queue *queue = talloc_zero(mem, struct queue);

	queue->services = g_hash_table_new(g_str_hash, g_str_equal);
	talloc_set_destructor(queue, queue_destructor);
	return queue;
}

void queue_set_total(struct queue *queue, uint32_t total)
{
	queue->total = total;
}

static int flow_destructor(struct queue_flow *flow)
{
	if (flow->children)
		g_ptr_array_free(flow->children, TRUE);
	return 0;
}

static struct queue_flow *create_flow(TALLOC_CTX *mem, const char *name, struct queue_flow *parent,
				      bool inner)
{
	struct queue_flow *flow = talloc_zero(mem, struct queue_flow);

	flow->name = talloc_strdup(flow, name);
	flow->parent = parent;
	flow->weight = 1;
	if (inner)
		flow->children = g_ptr_array_new();
	if (parent) {
		flow->service_queue = parent->service_queue;
		g_ptr_array_add(parent->children, flow);
	}
	talloc_set_destructor(flow, flow_destructor);
	return flow;
}

static struct service_queue *find_or_create_service(struct queue *queue, const char *service)
{
	struct service_queue *service_queue = g_hash_table_lookup(queue->services, service);

	if (service_queue)
		return service_queue;
	service_queue = talloc_zero(queue, struct service_queue);
	service_queue->service = talloc_strdup(service_queue, service);
	for (int i = 0; i < 2; i++) {
		service_queue->bands[i] = create_flow(service_queue, "", NULL, true);
		service_queue->bands[i]->service_queue = service_queue;
	}
	g_hash_table_insert(queue->services, service_queue->service, service_queue);
	return service_queue;
}

static struct queue_flow *find_child(const struct queue_flow *parent, const char *name)
{
	for (guint i = 0; i < parent->children->len; i++) {
		struct queue_flow *child = g_ptr_array_index(parent->children, i);

		if (!strcmp(child->name, name))
			return child;
	}
	return NULL;
}

static struct queue_flow *find_or_create_child(struct queue_flow *parent, const char *name,
					       bool inner)
{
	struct queue_flow *child = find_child(parent, name);

	return child ? child : create_flow(parent, name, parent, inner);
}

static double usable_weight(double weight)
{
	if (!(weight > 0))
		return 1;
	return weight < CHILD_WEIGHT_MIN ? CHILD_WEIGHT_MIN : weight;
}

static struct queue_flow *find_or_create_flow(struct queue *queue,
					      const struct queue_flow_spec *spec)
{
	struct service_queue *service_queue = find_or_create_service(queue, spec->service);
	struct queue_flow *organisation =
		find_or_create_child(service_queue->bands[spec->urgent], spec->organisation, true);
	struct queue_flow *flow = find_or_create_child(organisation, spec->class_name, false);

	organisation->weight = usable_weight(spec->share);
	flow->weight = usable_weight(spec->weight);
	return flow;
}

static void add_waiting(struct queue *queue, struct queue_flow *flow, int change)
{
	queue->waiting += (size_t)change;
	for (; flow; flow = flow->parent) {
		flow->waiting += (size_t)change;
		/*
		 * A node without waiting items loses its deficit. Otherwise it could accumulate
		 * turns and delay the other nodes later.
		 */
		if (!flow->waiting)
			flow->deficit = 0;
	}
}

int queue_push(struct queue *queue, struct queue_item *item, const struct queue_flow_spec *spec,
	       struct err *err)
{
	struct queue_flow *flow;

	if (queue->total && queue->waiting >= queue->total)
		return err_set(err, ERR_QUEUE_FULL, "retry later with backoff",
			       "%zu requests are waiting on this entry host, which is its limit",
			       queue->waiting);
	flow = find_or_create_flow(queue, spec);
	if (spec->max_queue && flow->waiting >= spec->max_queue)
		return err_set(err, ERR_QUEUE_FULL,
			       "retry later with backoff, or have an operator raise max_queue",
			       "%zu requests of class %s are already waiting for this organisation",
			       flow->waiting, spec->class_name);
	item->flow = flow;
	item->next = NULL;
	item->prev = flow->tail;
	if (flow->tail)
		flow->tail->next = item;
	else
		flow->head = item;
	flow->tail = item;
	add_waiting(queue, flow, 1);
	return 0;
}

void queue_push_front(struct queue *queue, struct queue_item *item,
		      const struct queue_flow_spec *spec)
{
	struct queue_flow *flow = find_or_create_flow(queue, spec);

	item->flow = flow;
	item->prev = NULL;
	item->next = flow->head;
	if (flow->head)
		flow->head->prev = item;
	else
		flow->tail = item;
	flow->head = item;
	add_waiting(queue, flow, 1);
}

void queue_remove(struct queue *queue, struct queue_item *item)
{
	struct queue_flow *flow = item->flow;

	if (!flow)
		return;
	if (item->prev)
		item->prev->next = item->next;
	else
		flow->head = item->next;
	if (item->next)
		item->next->prev = item->prev;
	else
		flow->tail = item->prev;
	item->flow = NULL;
	item->next = NULL;
	item->prev = NULL;
	add_waiting(queue, flow, -1);
}

/* Selects a child by deficit round robin. At least one child must have waiting items. */
static struct queue_flow *next_child(struct queue_flow *node)
{
	for (;;) {
		struct queue_flow *child =
			g_ptr_array_index(node->children, node->turn % node->children->len);

		if (child->waiting && child->deficit >= 1) {
			child->deficit -= 1;
			return child;
		}
		node->turn = (node->turn + 1) % node->children->len;
		child = g_ptr_array_index(node->children, node->turn);
		if (child->waiting)
			child->deficit += child->weight;
	}
}

static struct queue_flow *choose_band(struct service_queue *service_queue)
{
	struct queue_flow *other = service_queue->bands[0];
	struct queue_flow *urgent = service_queue->bands[1];

	if (!urgent->waiting || !other->waiting)
		return urgent->waiting ? urgent : other;
	service_queue->non_urgent_credit += QUEUE_NON_URGENT_PERCENT;
	if (service_queue->non_urgent_credit < 100)
		return urgent;
	service_queue->non_urgent_credit -= 100;
	return other;
}

struct queue_item *queue_pop(struct queue *queue, const char *service)
{
	struct service_queue *service_queue = g_hash_table_lookup(queue->services, service);
	struct queue_flow *band;
	struct queue_item *item;

	if (!service_queue)
		return NULL;
	band = choose_band(service_queue);
	if (!band->waiting)
		return NULL;
	item = next_child(next_child(band))->head;
	queue_remove(queue, item);
	return item;
}

size_t queue_waiting(const struct queue *queue, const char *service)
{
	const struct service_queue *service_queue;

	if (!service)
		return queue->waiting;
	service_queue = g_hash_table_lookup(queue->services, service);
	return service_queue ? service_queue->bands[0]->waiting + service_queue->bands[1]->waiting
			     : 0;
}

/*
 * Estimates how many items of @node are served before a new item of @child: the items of @child,
 * and of each other child at most its weight per round that @child needs for them.
 */
static double items_ahead(const struct queue_flow *node, const struct queue_flow *child,
			  double own_waiting, double own_weight)
{
	double ahead = own_waiting;

	for (guint i = 0; i < node->children->len; i++) {
		const struct queue_flow *other = g_ptr_array_index(node->children, i);
		double turns = ceil((own_waiting + 1) / own_weight) * other->weight;

		if (other != child)
			ahead += fmin((double)other->waiting, turns);
	}
	return ahead;
}

size_t queue_ahead(const struct queue *queue, const struct queue_flow_spec *spec)
{
	const struct service_queue *service_queue =
		g_hash_table_lookup(queue->services, spec->service);
	const struct queue_flow *band;
	const struct queue_flow *organisation;
	const struct queue_flow *flow = NULL;
	double ahead = 0;

	if (!service_queue)
		return 0;
	band = service_queue->bands[spec->urgent];
	organisation = find_child(band, spec->organisation);
	if (organisation)
		flow = find_child(organisation, spec->class_name);
	if (organisation)
		ahead = items_ahead(organisation, flow, flow ? (double)flow->waiting : 0,
				    usable_weight(spec->weight));
	ahead = items_ahead(band, organisation, ahead, usable_weight(spec->share));
	if (!spec->urgent)
		ahead += fmin((double)service_queue->bands[1]->waiting,
			      (ahead + 1) * (100 - QUEUE_NON_URGENT_PERCENT) /
				      QUEUE_NON_URGENT_PERCENT);
	return (size_t)ahead;
}

void queue_each_service(struct queue *queue, void (*visit)(const char *service, void *ctx),
			void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, queue->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct service_queue *service_queue = value;

		if (queue_waiting(queue, service_queue->service))
			visit(service_queue->service, ctx);
	}
}
