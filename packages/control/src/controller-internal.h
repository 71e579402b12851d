#ifndef CONTROL_CONTROLLER_INTERNAL_H
#define CONTROL_CONTROLLER_INTERNAL_H

#include "controller.h"

/* controller-lease.c: carries out what the lease asks for. */
void controller_run_lease (struct controller *controller, int64_t now_ms);

/* controller-assignment.c: writes and reads of the assignment. */
void controller_write_assignment (struct controller *controller,
                                  int64_t now_ms);
void controller_read_assignment (struct controller *controller);

/* controller-orders.c: orders to engines. */
void controller_send_order (struct controller *controller,
                            const struct plan_order *order,
                            int64_t now_ms);
void controller_orders_finish (struct controller *controller);

/* controller-log.c */
void controller_log_decisions (struct controller *controller);

#endif
