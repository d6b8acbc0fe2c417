import { createOperatorCaller } from '../index.js';
import type { LocalCell } from '../index.js';

/** @returns whether all daemons own the same number of partitions, so that no handover is due */
export async function arePartitionsEvenlySplit(cell: LocalCell): Promise<boolean> {
  const operator = createOperatorCaller('bootstrap', cell.operatorToken);
  const listed = await operator.listDaemons(cell.daemons[0]?.apiAddress ?? '');
  await operator.close();
  const rows = listed.kind === 'answered' ? listed.value.rows : [];
  const share = cell.plan.partitions / cell.daemons.length;
  return rows.length > 0 && rows.every(({ partitions }) => partitions?.length === share);
}
