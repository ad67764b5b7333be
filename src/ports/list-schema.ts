/**
 * Lists in what others answer. They are refused at the first wrong item: zod's own lists describe every wrong item, which
 * takes many times the memory of the answer.
 */
import * as z from 'zod';

/**
 * Creates the schema of a list.
 *
 * @param item the schema of its items
 */
export function createListSchema<Item extends z.ZodType>(item: Item) {
  return z.array(z.unknown()).transform((values, context): z.output<Item>[] => {
    const items: z.output<Item>[] = [];
    for (const value of values) {
      const parsed = item.safeParse(value);
      if (!parsed.success) {
        context.addIssue({ code: 'custom', message: `item ${items.length} is not as expected` });
        return z.NEVER;
      }
      items.push(parsed.data);
    }
    return items;
  });
}
