#ifndef CONTROL_KEEPER_INTERNAL_H
#define CONTROL_KEEPER_INTERNAL_H

#include "keeper.h"

/* keeper-lease.c: carries out what the lease asks for. */
void keeper_run_lease (struct keeper *keeper, int64_t now_ms);

/* keeper-assignment.c: writes and reads of the assignment. */
void keeper_write_assignment (struct keeper *keeper, int64_t now_ms);
void keeper_read_assignment (struct keeper *keeper);

/* keeper-orders.c: orders to engines. */
void keeper_send_order (struct keeper *keeper,
                        const struct plan_order *order,
                        int64_t now_ms);
void keeper_orders_finish (struct keeper *keeper);

/* keeper-log.c */
void keeper_log_decisions (struct keeper *keeper);

#endif
