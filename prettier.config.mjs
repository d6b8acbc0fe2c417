export default {
  singleQuote: true,
  trailingComma: 'all',
  printWidth: 100,
  proseWrap: 'preserve',
};
