#ifndef CONTROL_CONTROLLER_INTERNAL_H
#define CONTROL_CONTROLLER_INTERNAL_H

#include "controller.h"

/* controller-lease.c: performs the reads and writes that the lease requests. */
void controller_run_lease (struct controller *controller, int64_t now_ms);

/* controller-assignment.c: writes and reads the assignment object. */
void controller_write_assignment (struct controller *controller,
                                  int64_t now_ms);
void controller_read_assignment (struct controller *controller);

/*
 * controller-orders.c: sends orders to engines.  An order is written only under
 * the lease that it was decided under.
 */
void controller_orders_init (struct controller *controller);
void controller_send_order (struct controller *controller,
                            const struct plan_order *order,
                            int64_t now_ms);
void controller_orders_tick (struct controller *controller, int64_t now_ms);
void controller_orders_finish (struct controller *controller);

/* controller-log.c: logs the placement decisions if they changed. */
void controller_log_decisions (struct controller *controller);

#endif
