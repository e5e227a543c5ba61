/** Where the operators' table stands in the platform's store. */
export const TABLE_KEY = 'guavaspindle/table';
